"""Delays between attempts."""

from galenatack.interfaces import random_source

FIRST_S = 0.2
LONGEST_S = 10.0


class DialBackoff:
    """Full-jitter exponential backoff.

    The whole delay is random, so that nodes which lost a peer at the same
    moment do not come back at the same moment.

    Args:
        rng: Source of the jitter.
        first_s: Upper bound of the first delay.
        longest_s: Upper bound of all delays.
    """

    def __init__(
        self,
        *,
        rng: random_source.RandomSource,
        first_s: float = FIRST_S,
        longest_s: float = LONGEST_S,
    ):
        self._rng = rng
        self._first_s = first_s
        self._longest_s = longest_s
        self._bound_s = first_s

    def next_s(self) -> float:
        """Returns the next delay in seconds and doubles its bound."""
        delay_s = self._rng.uniform(0.0, self._bound_s)
        self._bound_s = min(self._bound_s * 2, self._longest_s)
        return delay_s

    def reset(self) -> None:
        """Starts over after a success."""
        self._bound_s = self._first_s
