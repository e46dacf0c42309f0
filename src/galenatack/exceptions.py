"""The exception tree. Every failure of galenatack has a type here."""


class GalenatackError(Exception):
    """Base class of all failures.

    Attributes:
        code: Stable identifier for logs, messages and exit statuses.
    """

    code = "internal"


class SettingsError(GalenatackError):
    """The settings file has errors; the message has one line for each."""

    code = "settings"


class ProfileInvalidError(GalenatackError):
    """A profile failed the whole check; the message has one line an error."""

    code = "profile-invalid"


class VersionConflictError(GalenatackError):
    """Another operator published first.

    Attributes:
        winning_version: The version that stands in the table.
    """

    code = "version-conflict"

    def __init__(self, message: str, *, winning_version: int):
        super().__init__(message)
        self.winning_version = winning_version


class NotFoundError(GalenatackError):
    """The named profile, service, version or move does not exist."""

    code = "not-found"


class AdminRequestError(GalenatackError):
    """An operator's request is malformed."""

    code = "bad-request"


class NotAuthenticatedError(GalenatackError):
    """An operator's request has no known bearer token."""

    code = "not-authenticated"


class NotPermittedError(GalenatackError):
    """The role of the bearer token does not allow the request."""

    code = "not-permitted"


class MoveError(GalenatackError):
    """A move cannot be started or changed."""

    code = "move"


class MoveActiveError(MoveError):
    """The service already has an open move."""

    code = "move-active"


class MoveFinishedError(MoveError):
    """The move already has its verdict.

    Attributes:
        verdict: The verdict that stands in the table.
    """

    code = "move-finished"

    def __init__(self, message: str, *, verdict: str):
        super().__init__(message)
        self.verdict = verdict


class LeaseLostError(MoveError):
    """The lease row changed under its holder; the write was not made."""

    code = "lease-lost"


class PlatformError(GalenatackError):
    """Base class of failures of the table service and the object store."""

    code = "platform"


class PlatformUnavailableError(PlatformError):
    """The platform refused the operation; it had no effect.

    Attributes:
        retry_after_ms: When to ask again.
    """

    code = "platform-unavailable"

    def __init__(self, message: str, *, retry_after_ms: int = 1000):
        super().__init__(message)
        self.retry_after_ms = retry_after_ms


class OutcomeUnknownError(PlatformError):
    """The answer of a write was lost; it may have taken effect."""

    code = "outcome-unknown"


class TransactionConflictError(PlatformError):
    """A check of a transaction failed; nothing was written.

    Attributes:
        keys: The row keys whose revision differed.
    """

    code = "transaction-conflict"

    def __init__(self, message: str, *, keys: tuple[str, ...]):
        super().__init__(message)
        self.keys = keys


class PeerError(GalenatackError):
    """Base class of failures between nodes."""

    code = "peer"


class PeerUnreachableError(PeerError):
    """No connection to the peer could be made; nothing was sent."""

    code = "peer-unreachable"


class PeerTimeoutError(PeerError):
    """The peer did not answer in time; it may have handled the request."""

    code = "peer-timeout"


class PeerBusyError(PeerError):
    """The peer refused the request for now.

    Attributes:
        retry_after_ms: When to ask again.
    """

    code = "peer-busy"

    def __init__(self, message: str, *, retry_after_ms: int):
        super().__init__(message)
        self.retry_after_ms = retry_after_ms


class ProtocolError(PeerError):
    """A frame that cannot be decoded or is not allowed here."""

    code = "protocol"


class CallError(GalenatackError):
    """Base class of failures of a caller's call."""

    code = "call"


class OverloadedError(CallError):
    """The call was refused before any dispatch because of load.

    Attributes:
        retry_after_ms: When to ask again.
    """

    code = "overloaded"

    def __init__(self, message: str, *, retry_after_ms: int):
        super().__init__(message)
        self.retry_after_ms = retry_after_ms


class NoTargetError(CallError):
    """No target of the service can take the call."""

    code = "no-target"


class NoRouteError(CallError):
    """No route of the service matches the call."""

    code = "no-route"


class DeadlineExceededError(CallError):
    """The deadline of the call has passed."""

    code = "deadline-exceeded"


class PostingError(CallError):
    """A posting was refused before any dispatch.

    Attributes:
        status: HTTP status for the caller.
    """

    code = "posting"
    status = 400


class PostingKeyMissingError(PostingError):
    """A posting carries no Idempotency-Key, or one that is too long."""

    code = "posting-key-missing"


class TicketMalformedError(PostingError):
    """A key has the form of a ticket but this deployment did not sign it."""

    code = "ticket-malformed"


class PostingKeyReusedError(PostingError):
    """The key belongs to a request with another method, path or body."""

    code = "posting-key-reused"
    status = 422


class TargetError(CallError):
    """Base class of failures at the target."""

    code = "target"


class TargetConnectError(TargetError):
    """The connection to the target failed; the call did not start."""

    code = "target-connect"


class TargetAnswerLostError(TargetError):
    """The call was sent and its answer was lost; it may have run."""

    code = "target-answer-lost"


class TargetShedError(TargetError):
    """The target refused the call before it started.

    Attributes:
        retry_after_ms: When to ask again.
    """

    code = "target-shed"

    def __init__(self, message: str, *, retry_after_ms: int = 1000):
        super().__init__(message)
        self.retry_after_ms = retry_after_ms


class ToolError(GalenatackError):
    """Base class of failures of the command-line tool."""

    code = "tool"


class UsageError(ToolError):
    """An argument or a file given to the tool is wrong."""

    code = "usage"


class AdminUnreachableError(ToolError):
    """No node answered, or the platform is down; nothing was changed."""

    code = "admin-unreachable"


class AdminAnswerError(ToolError):
    """An answer lacks fields; its sender is no node, or another release."""

    code = "admin-answer"


class AdminTimeoutError(ToolError):
    """The answer did not come in time; the change may have taken effect."""

    code = "admin-timeout"


class WaitTimeoutError(ToolError):
    """What the tool waited for has not happened yet."""

    code = "wait-timeout"


class AdminRefusedError(ToolError):
    """A node refused the request.

    Attributes:
        status: HTTP status.
        reason: Code that the node gave.
        facts: Further fields of the node's answer.
    """

    code = "admin-refused"

    def __init__(self, message: str, *, status: int, reason: str, facts: dict):
        super().__init__(message)
        self.status = status
        self.reason = reason
        self.facts = facts


class InvariantViolationError(GalenatackError):
    """Base class of violations of an invariant; a bug in galenatack.

    Attributes:
        facts: The values that show the violation.
    """

    code = "invariant"

    def __init__(self, message: str, **facts: object):
        details = " ".join(f"{key}={value!r}" for key, value in facts.items())
        super().__init__(f"{message} {details}".strip())
        self.facts = facts


class ObjectCorruptError(PlatformError):
    """An object is missing or its body differs from its content hash."""

    code = "object-corrupt"


class SnapshotError(GalenatackError):
    """Entries have references that do not resolve; one line for each."""

    code = "snapshot"


class BadCallError(CallError):
    """The call is malformed or exceeds a limit.

    Attributes:
        status: HTTP status that describes it.
    """

    code = "bad-call"

    def __init__(self, message: str, *, status: int = 400):
        super().__init__(message)
        self.status = status


class LeavingError(CallError):
    """The target is leaving, or its version is withdrawn."""

    code = "leaving"


class CancelledCallError(CallError):
    """The caller went away.

    Attributes:
        is_confirmed: True when the call did not start and never will.
    """

    code = "cancelled"

    def __init__(self, message: str, *, is_confirmed: bool):
        super().__init__(message)
        self.is_confirmed = is_confirmed


class TicketGoneError(CallError):
    """The incarnation that issued the ticket is gone."""

    code = "ticket-other-incarnation"
    # The ticket never runs and no answer will be recorded.
    retry_after_ms = 0
