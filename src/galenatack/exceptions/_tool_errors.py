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
