"""Budget of bytes that calls may send across the region link."""

from galenatack.interfaces import clock as clock_module
from galenatack.routing import token_bucket

# Headers and framing of one call and its answer.
CALL_OVERHEAD_BYTES = 512
_BURST_S = 1.0


class ByteBudget:
    """One token bucket for each service; a token is one byte."""

    def __init__(self, *, clock: clock_module.Clock):
        self._clock = clock
        self._buckets: dict[tuple[str, int], token_bucket.TokenBucket] = {}

    def allows(self, service: str, rate_bytes_per_s: int, body_bytes: int):
        """Returns whether a call with this body may cross the link."""
        needed_bytes = body_bytes + CALL_OVERHEAD_BYTES
        return self._bucket(service, rate_bytes_per_s).has(needed_bytes)

    def charge(self, service: str, rate_bytes_per_s: int, size_bytes: int):
        """Charges a call and its answer; the budget may become negative."""
        charged_bytes = size_bytes + CALL_OVERHEAD_BYTES
        self._bucket(service, rate_bytes_per_s).charge(charged_bytes)

    def _bucket(self, service: str, rate: int) -> token_bucket.TokenBucket:
        key = (service, rate)
        if key not in self._buckets:
            self._buckets[key] = token_bucket.TokenBucket(
                clock=self._clock,
                rate_per_s=rate,
                capacity=rate * _BURST_S,
            )
        return self._buckets[key]
