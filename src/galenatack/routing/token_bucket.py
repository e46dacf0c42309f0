"""A token bucket on the monotonic clock."""

from galenatack.interfaces import clock as clock_module


class TokenBucket:
    """Holds up to `capacity` tokens, refilled at `rate_per_s`.

    Args:
        clock: Source of time.
        rate_per_s: Tokens added per second.
        capacity: Maximum number of tokens; the bucket starts full.
    """

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        rate_per_s: float,
        capacity: float,
    ):
        self._clock = clock
        self._rate_per_s = rate_per_s
        self._capacity = capacity
        self._tokens = capacity
        self._refilled_s = clock.monotonic_s()

    @property
    def level(self) -> float:
        """Number of tokens; negative after a charge beyond the balance."""
        self._refill()
        return self._tokens

    def has(self, tokens: float) -> bool:
        """Returns whether this many tokens are available.

        A full bucket is enough for any number of tokens.
        """
        self._refill()
        return self._tokens >= min(tokens, self._capacity)

    def take(self, tokens: float) -> bool:
        """Takes tokens if they are available; returns False if not."""
        if not self.has(tokens):
            return False
        self._tokens -= tokens
        return True

    def charge(self, tokens: float) -> None:
        """Takes tokens even if the balance becomes negative."""
        self._refill()
        self._tokens -= tokens

    def delay_s(self, tokens: float) -> float:
        """Returns the time in seconds until this many tokens are available."""
        self._refill()
        missing = min(tokens, self._capacity) - self._tokens
        return max(0.0, missing / self._rate_per_s)

    def set_rate(self, *, rate_per_s: float, capacity: float) -> None:
        """Changes the rate and the capacity; the balance is kept."""
        self._refill()
        self._rate_per_s = rate_per_s
        self._capacity = capacity
        self._tokens = min(capacity, self._tokens)

    def _refill(self) -> None:
        now_s = self._clock.monotonic_s()
        refilled = (now_s - self._refilled_s) * self._rate_per_s
        self._tokens = min(self._capacity, self._tokens + refilled)
        self._refilled_s = now_s
