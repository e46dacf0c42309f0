"""Waiting times with full jitter."""

from galenatack.interfaces import random_source

MS_PER_S = 1000


class RetryBackoff:
    """Full-jitter exponential backoff.

    Args:
        rng: Source of the jitter.
        base_s: Bound of the first wait.
        cap_s: Bound of all waits.
    """

    def __init__(
        self, *, rng: random_source.RandomSource, base_s: float, cap_s: float
    ):
        self._rng = rng
        self._base_s = base_s
        self._cap_s = cap_s
        self._bound_s = base_s

    def next_s(self) -> float:
        """Returns the next wait, between 0 and a bound that doubles."""
        wait_s = self._rng.uniform(0.0, self._bound_s)
        self._bound_s = min(self._cap_s, 2 * self._bound_s)
        return wait_s

    def reset(self) -> None:
        """Starts again after a success."""
        self._bound_s = self._base_s
