"""Log lines about single requests, with a rate limit."""

import logging
import zlib

from galenatack.interfaces import clock as clock_interface
from galenatack.routing import token_bucket

_LOGGER = logging.getLogger(__name__)

SAMPLE_ONE_IN = 128
"""One in this many requests is logged in full, whatever its outcome. The choice
depends on the request id, which makes every node log the same requests."""

LINES_PER_S = 40.0
"""Maximum rate of lines about failed requests: 0.2% of a core at 50 us a line,
a ninth of what control work may use."""

BURST_LINES = 400.0
"""Maximum burst of lines: about ten seconds of the rate, enough to log all
failures of an overload of a few seconds."""


class RequestLog:
    """Logs sampled requests in full and the failures of others up to a rate.

    Args:
        clock: Source of time.

    Attributes:
        dropped_total: Lines that were dropped by the rate limit.
    """

    def __init__(self, *, clock: clock_interface.Clock):
        self._bucket = token_bucket.TokenBucket(
            clock=clock, rate_per_s=LINES_PER_S, capacity=BURST_LINES
        )
        self._unreported_drops = 0
        self.dropped_total = 0

    def is_sampled(self, request_id: str) -> bool:
        """Returns whether every decision about a request is logged."""
        return zlib.crc32(request_id.encode()) % SAMPLE_ONE_IN == 0

    def log_decision(
        self, request_id: str, event: str, **facts: object
    ) -> None:
        """Logs a decision about a sampled request."""
        if self.is_sampled(request_id):
            self._write(request_id, event, facts)

    def log_failure(self, request_id: str, event: str, **facts: object) -> None:
        """Logs a failed request, an unsampled one only within the rate."""
        if not self.is_sampled(request_id) and not self._bucket.take(1.0):
            self.dropped_total += 1
            self._unreported_drops += 1
            return
        self._write(request_id, event, facts)

    def report_dropped(self) -> None:
        """Logs the number of lines dropped since the last report."""
        if self._unreported_drops:
            _LOGGER.warning(
                "event=log-lines-dropped lines=%d", self._unreported_drops
            )
            self._unreported_drops = 0

    def _write(
        self, request_id: str, event: str, facts: dict[str, object]
    ) -> None:
        pairs = " ".join(
            f"{name}={_format(value)}" for name, value in facts.items()
        )
        _LOGGER.info("event=%s request=%s %s", event, request_id, pairs)


def _format(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.1f}"
    text = str(value)
    if " " in text or "=" in text or not text:
        return '"' + text.replace('"', "'") + '"'
    return text
