"""Delays between dial attempts."""

from galenatack.interfaces import random_source

INITIAL_S = 0.2
MAX_S = 10.0


class DialBackoff:
    """Full-jitter exponential backoff.

    The whole delay is random: nodes that lost a peer at the same moment must
    not all reconnect at the same moment.

    Args:
        rng: Source of the jitter.
        initial_s: Upper bound of the first delay.
        max_s: Upper bound of all delays.
    """

    def __init__(
        self,
        *,
        rng: random_source.RandomSource,
        initial_s: float = INITIAL_S,
        max_s: float = MAX_S,
    ):
        self._rng = rng
        self._initial_s = initial_s
        self._max_s = max_s
        self._bound_s = initial_s

    def next_s(self) -> float:
        """Returns the next delay in seconds and doubles its bound."""
        delay_s = self._rng.uniform(0.0, self._bound_s)
        self._bound_s = min(self._bound_s * 2, self._max_s)
        return delay_s

    def reset(self) -> None:
        """Resets the delay after a success."""
        self._bound_s = self._initial_s
