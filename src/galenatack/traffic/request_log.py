"""Log lines about single requests, bounded under load."""

import logging
import zlib

from galenatack.interfaces import clock as clock_interface
from galenatack.routing import token_bucket

_LOGGER = logging.getLogger(__name__)

SAMPLE_ONE_IN = 128
"""Requests with ordinary outcomes that are logged whole. The choice depends on
the request's id, so that every node logs the same ones."""

LINES_PER_S = 40.0
"""Lines about failed requests that a node writes: 0.2% of a core at 50 us a
line, a ninth of what control may cost."""

BURST_LINES = 400.0
"""Lines at once: about ten seconds of the rate, which covers an overload of a
few seconds whole."""


class RequestLog:
    """Writes sampled requests whole, and failures within a rate.

    Args:
        clock: Source of time.

    Attributes:
        dropped_total: Lines that were not written because of the rate.
    """

    def __init__(self, *, clock: clock_interface.Clock):
        self._bucket = token_bucket.TokenBucket(
            clock=clock, rate_per_s=LINES_PER_S, capacity=BURST_LINES
        )
        self._unreported = 0
        self.dropped_total = 0

    def is_sampled(self, request_id: str) -> bool:
        """Tells whether every decision about a request is logged."""
        return zlib.crc32(request_id.encode()) % SAMPLE_ONE_IN == 0

    def note(self, request_id: str, event: str, **facts: object) -> None:
        """Logs a decision about a sampled request."""
        if self.is_sampled(request_id):
            self._write(request_id, event, facts)

    def failure(self, request_id: str, event: str, **facts: object) -> None:
        """Logs a decision that made a request fail, within the rate."""
        if not self.is_sampled(request_id) and not self._bucket.take(1.0):
            self.dropped_total += 1
            self._unreported += 1
            return
        self._write(request_id, event, facts)

    def report_dropped(self) -> None:
        """Logs how many lines were dropped since the last report."""
        if self._unreported:
            _LOGGER.warning(
                "event=log-lines-dropped lines=%d", self._unreported
            )
            self._unreported = 0

    def _write(
        self, request_id: str, event: str, facts: dict[str, object]
    ) -> None:
        pairs = " ".join(
            f"{name}={_text(fact)}" for name, fact in facts.items()
        )
        _LOGGER.info("event=%s request=%s %s", event, request_id, pairs)


def _text(fact: object) -> str:
    if isinstance(fact, float):
        return f"{fact:.1f}"
    text = str(fact)
    if " " in text or "=" in text or not text:
        return '"' + text.replace('"', "'") + '"'
    return text
