"""What a caller is told about a call."""

import enum


class Outcome(enum.StrEnum):
    """Value of the header `Galenatack-Outcome`.

    Exactly one of these is told for each call.
    """

    ANSWER = "answer"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
