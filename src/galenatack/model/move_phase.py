"""Phase of a move."""

import enum


class MovePhase(enum.StrEnum):
    """Phases of a move; `DONE` and `TAKEN_BACK` are its final verdicts."""

    RUNNING = "running"
    DONE = "done"
    TAKEN_BACK = "taken_back"
