"""Seeds that broke a promise once."""

import typing


class Regression(typing.NamedTuple):
    """A run that broke a promise once.

    Attributes:
        seed: Its seed.
        nodes: Node processes.
        seconds: Time with faults.
        cause: What it was.
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
        cause="SIGTERM came before the program could handle it; the check now"
        " tells by the log that nothing had been served",
    ),
)
"""Repeated by `python -m soak --regressions`."""
