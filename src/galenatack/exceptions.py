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

    code = "ticket-gone"
