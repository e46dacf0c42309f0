"""Phase of a move."""

import enum


class MovePhase(enum.StrEnum):
    """A move is running until its verdict, which is final."""

    RUNNING = "running"
    DONE = "done"
    TAKEN_BACK = "taken_back"
