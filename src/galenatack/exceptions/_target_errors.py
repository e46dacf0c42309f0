"""Failures at the target."""

from galenatack.exceptions import _call_errors


class TargetError(_call_errors.CallError):
    """Base class of failures at the target."""

    code = "target"


class TargetConnectError(TargetError):
    """The connection to the target failed; the call did not start."""

    code = "target-connect"


class TargetAnswerLostError(TargetError):
    """The call was sent but its answer was lost; the call may have run."""

    code = "target-answer-lost"


class TargetStatusError(TargetAnswerLostError):
    """The target answered with a status line that is no answer."""


class TargetCrashedError(TargetAnswerLostError):
    """The target crashed while it ran the call."""

    code = "target-crashed"


class TargetShedError(TargetError):
    """The target refused the call before it started.

    Attributes:
        retry_after_ms: Delay before a retry, in milliseconds.
    """

    code = "target-shed"

    def __init__(self, message: str, *, retry_after_ms: int = 1000):
        super().__init__(message)
        self.retry_after_ms = retry_after_ms
