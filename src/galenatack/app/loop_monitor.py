"""Measures how late the event loop runs its timers."""

import logging

from galenatack.interfaces import clock as clock_interface
from galenatack.telemetry import call_stats

_LOGGER = logging.getLogger(__name__)

INTERVAL_S = 0.25
LOGGED_DELAY_S = 0.25
MS_PER_S = 1000


class LoopMonitor:
    """Records the delay of a periodic timer.

    All time-outs of the node are late by this delay: something held the event
    loop, or the process had no processor.

    Args:
        clock: Source of time.
        stats: Receives the delays, as the span `loop-delay`.
    """

    def __init__(
        self,
        *,
        clock: clock_interface.Clock,
        stats: call_stats.CallStats,
    ):
        self._clock = clock
        self._stats = stats

    async def run(self) -> None:
        """Measures until cancelled."""
        while True:
            due_s = self._clock.monotonic_s() + INTERVAL_S
            await self._clock.sleep_s(INTERVAL_S)
            delay_s = max(0.0, self._clock.monotonic_s() - due_s)
            self._stats.record_ms("loop-delay", delay_s * MS_PER_S)
            if delay_s >= LOGGED_DELAY_S:
                _LOGGER.warning(
                    "event=loop-delayed delay_ms=%d", delay_s * MS_PER_S
                )
