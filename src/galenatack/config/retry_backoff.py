"""Exponential backoff with full jitter."""

from galenatack.interfaces import random_source

MS_PER_S = 1000


class RetryBackoff:
    """Exponential backoff with full jitter.

    Args:
        rng: Source of the jitter.
        base_s: Upper bound of the first delay.
        cap_s: Upper bound of all delays.
    """

    def __init__(
        self, *, rng: random_source.RandomSource, base_s: float, cap_s: float
    ):
        self._rng = rng
        self._base_s = base_s
        self._cap_s = cap_s
        self._bound_s = base_s

    def next_s(self) -> float:
        """Returns a random delay up to a bound, and doubles the bound."""
        delay_s = self._rng.uniform(0.0, self._bound_s)
        self._bound_s = min(self._cap_s, 2 * self._bound_s)
        return delay_s

    def reset(self) -> None:
        """Resets the bound to `base_s`, after a success."""
        self._bound_s = self._base_s
