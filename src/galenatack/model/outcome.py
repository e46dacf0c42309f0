"""The outcome of a call, as reported to its caller."""

import enum


class Outcome(enum.StrEnum):
    """Value of the header `Galenatack-Outcome`.

    Each call has exactly one outcome.
    """

    ANSWER = "answer"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
