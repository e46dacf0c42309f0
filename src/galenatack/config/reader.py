"""Polls the platform on behalf of a data centre."""

import collections.abc

from galenatack import exceptions
from galenatack.config import platform_log
from galenatack.config import propagation
from galenatack.config import retry_backoff
from galenatack.interfaces import clock
from galenatack.interfaces import event_sink
from galenatack.interfaces import random_source

POLL_S = 0.5
POLL_JITTER = 0.2
# The load of 24 readers at this interval is negligible, and a change accepted
# just after an outage is still read within the promised 5 s.
OUTAGE_CAP_S = 2.0

IsReader = collections.abc.Callable[[], bool]


class PlatformReader:
    """Polls the head of the log while this node is a reader.

    Args:
        log: Reads changes from the platform.
        propagation: Accepts the changes that were read.
        is_reader: Returns whether this node has the reader role now.
        clock: Source of time.
        rng: Source of jitter.
        events: Records outages of the platform.
    """

    def __init__(
        self,
        *,
        log: platform_log.PlatformLog,
        propagation: propagation.Propagation,
        is_reader: IsReader,
        clock: clock.Clock,
        rng: random_source.RandomSource,
        events: event_sink.EventSink,
    ):
        self._log = log
        self._propagation = propagation
        self._is_reader = is_reader
        self._clock = clock
        self._rng = rng
        self._events = events
        self._is_down = False
        self._backoff = retry_backoff.RetryBackoff(
            rng=rng, base_s=POLL_S, cap_s=OUTAGE_CAP_S
        )

    async def run(self) -> None:
        """Polls until it is cancelled."""
        while True:
            await self._clock.sleep_s(self._poll_s())
            # A new node assumes every role until it knows other nodes.
            if self._propagation.is_settled and self._is_reader():
                await self._poll()

    def _poll_s(self) -> float:
        return POLL_S * self._rng.uniform(1 - POLL_JITTER, 1 + POLL_JITTER)

    async def _poll(self) -> None:
        try:
            missing = await self._log.read_missing()
        except exceptions.PlatformError as error:
            self._record_outage(error)
            await self._clock.sleep_s(self._backoff.next_s())
            return
        self._backoff.reset()
        self._is_down = False
        if missing is not None:
            await self._propagation.accept_delta(missing)

    def _record_outage(self, error: exceptions.PlatformError) -> None:
        if not self._is_down:
            self._events.record("platform-down", code=error.code, why=error)
        self._is_down = True
