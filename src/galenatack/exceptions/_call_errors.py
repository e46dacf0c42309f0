"""Failures of callers' calls."""

from galenatack.exceptions import _base


class CallError(_base.GalenatackError):
    """Base class of failures of a caller's call."""

    code = "call"


class OverloadedError(CallError):
    """The call was refused before any dispatch because of overload.

    Attributes:
        retry_after_ms: Delay before a retry, in milliseconds.
    """

    code = "overloaded"

    def __init__(self, message: str, *, retry_after_ms: int):
        super().__init__(message)
        self.retry_after_ms = retry_after_ms


class OfferDeclinedError(CallError):
    """A gate declined a call because it would wait longer than offered.

    It may be sent to the same gate again without a limit on its wait.
    """

    code = "offer-declined"


class BodyUnavailableError(CallError):
    """An announced body did not arrive whole; its call has not run.

    Attributes:
        retry_after_ms: Delay before a retry, in milliseconds.
    """

    code = "body-unavailable"

    def __init__(self, message: str, *, retry_after_ms: int):
        super().__init__(message)
        self.retry_after_ms = retry_after_ms


class RetryRefusedError(CallError):
    """A retry was refused because retries are too large a share of all runs.

    Attributes:
        retry_after_ms: Delay after which the caller may send the request again,
            in milliseconds.
    """

    code = "retry-refused"

    def __init__(self, message: str, *, retry_after_ms: int):
        super().__init__(message)
        self.retry_after_ms = retry_after_ms


class NoTargetError(CallError):
    """No target of the service can accept the call."""

    code = "no-target"


class NoPermittedTargetError(CallError):
    """No target is left where the call may run.

    Attributes:
        retry_after_ms: Delay before a retry, in milliseconds.
    """

    code = "no-permitted-target"

    def __init__(self, message: str, *, retry_after_ms: int):
        super().__init__(message)
        self.retry_after_ms = retry_after_ms


class EvacuatedError(CallError):
    """The data centre of the target is evacuated.

    Attributes:
        retry_after_ms: Delay before a retry, in milliseconds.
    """

    code = "evacuated"

    def __init__(self, message: str, *, retry_after_ms: int = 1000):
        super().__init__(message)
        self.retry_after_ms = retry_after_ms


class NoRouteError(CallError):
    """No route of the service matches the call."""

    code = "no-route"


class UnusableRouteError(CallError):
    """The route has a destination that this release does not know.

    Attributes:
        retry_after_ms: Delay before a retry, in milliseconds.
    """

    code = "unusable-route"

    def __init__(self, message: str, *, retry_after_ms: int):
        super().__init__(message)
        self.retry_after_ms = retry_after_ms


class DeadlineExceededError(CallError):
    """The deadline of the call has passed."""

    code = "deadline-exceeded"


class BadCallError(CallError):
    """The call is malformed or exceeds a limit.

    Attributes:
        status: HTTP status for the caller.
    """

    code = "bad-call"

    def __init__(self, message: str, *, status: int = 400):
        super().__init__(message)
        self.status = status


class LeavingError(CallError):
    """The node or its target is leaving, or its version is withdrawn.

    Attributes:
        retry_after_ms: Delay before a retry, in milliseconds.
    """

    code = "leaving"

    def __init__(self, message: str, *, retry_after_ms: int = 1000):
        super().__init__(message)
        self.retry_after_ms = retry_after_ms


class QuarantinedError(CallError):
    """Targets have crashed under this request; it is not sent to another one.

    Attributes:
        retry_after_ms: Time until it may be sent again, in milliseconds.
    """

    code = "quarantined"

    def __init__(self, message: str, *, retry_after_ms: int):
        super().__init__(message)
        self.retry_after_ms = retry_after_ms


class UnknownKeyError(CallError):
    """The request has no key of a tenant, or an unknown one."""

    code = "unknown-key"


class KeysOutdatedError(CallError):
    """This node cannot tell whether the key is still valid.

    Attributes:
        retry_after_ms: Delay before a retry, in milliseconds.
    """

    code = "keys-outdated"

    def __init__(self, message: str, *, retry_after_ms: int):
        super().__init__(message)
        self.retry_after_ms = retry_after_ms


class QuotaExceededError(CallError):
    """The tenant's requests exceed its quota.

    Attributes:
        retry_after_ms: Delay before a retry, in milliseconds.
    """

    code = "quota-exceeded"

    def __init__(self, message: str, *, retry_after_ms: int):
        super().__init__(message)
        self.retry_after_ms = retry_after_ms


class CancelledCallError(CallError):
    """The call was cancelled because its caller disconnected.

    Attributes:
        is_confirmed: True if the call has not started and never will.
    """

    code = "cancelled"

    def __init__(self, message: str, *, is_confirmed: bool):
        super().__init__(message)
        self.is_confirmed = is_confirmed


class MalformedHeadError(CallError):
    """A method, path or header cannot be sent as HTTP."""

    code = "malformed-head"
