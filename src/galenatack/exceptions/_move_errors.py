"""Failures of moves."""

from galenatack.exceptions import _base


class MoveError(_base.GalenatackError):
    """A move cannot be started or changed."""

    code = "move"


class MoveActiveError(MoveError):
    """The service already has an open move."""

    code = "move-active"


class MoveFinishedError(MoveError):
    """The move already has a verdict.

    Attributes:
        verdict: The verdict stored in the table.
    """

    code = "move-finished"

    def __init__(self, message: str, *, verdict: str):
        super().__init__(message)
        self.verdict = verdict


class LeaseLostError(MoveError):
    """The lease row changed under its holder; the write was not made."""

    code = "lease-lost"
