"""Failures of the command-line tool."""

from galenatack.exceptions import _base


class ToolError(_base.GalenatackError):
    """Base class of failures of the command-line tool."""

    code = "tool"


class UsageError(ToolError):
    """An argument or a file given to the tool is wrong."""

    code = "usage"


class AdminUnreachableError(ToolError):
    """No node answered, or the platform is down; nothing was changed."""

    code = "admin-unreachable"


class AdminAnswerError(ToolError):
    """A response lacks fields; the sender is no node, or of another release."""

    code = "admin-answer"


class AdminTimeoutError(ToolError):
    """No response arrived in time; the change may have taken effect."""

    code = "admin-timeout"


class WaitTimeoutError(ToolError):
    """The expected state was not reached within the time to wait."""

    code = "wait-timeout"


class AdminRefusedError(ToolError):
    """A node refused the request.

    Attributes:
        status: HTTP status.
        reason: Error code in the node's response.
        facts: Other fields of the node's response.
    """

    code = "admin-refused"

    def __init__(self, message: str, *, status: int, reason: str, facts: dict):
        super().__init__(message)
        self.status = status
        self.reason = reason
        self.facts = facts
