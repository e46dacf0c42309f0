"""Seeds of runs that once broke a promise."""

import typing


class Regression(typing.NamedTuple):
    """A run that once broke a promise.

    Attributes:
        seed: Its seed.
        nodes: Number of node processes.
        seconds: Length of the faulty part.
        cause: Cause of the failure, and its fix.
    """

    seed: int
    nodes: int
    seconds: float
    cause: str


REGRESSIONS = (
    Regression(
        seed=2,
        nodes=6,
        seconds=12.0,
        cause="SIGTERM arrived before its handler was installed; the check now"
        " sees in the log that nothing had been served",
    ),
)
"""Run by `python -m soak --regressions`."""
