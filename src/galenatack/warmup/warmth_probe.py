"""Asks the own target whether it is cold."""

import asyncio
import collections.abc
import typing

from galenatack.interfaces import clock as clock_interface
from galenatack.warmup import target_warmth

MIN_INTERVAL_S = 0.02
"""Time between probes. At 200 calls/s, 4 calls are sent in it."""

FAILED_INTERVAL_S = 0.25
"""Time after a probe without an answer."""

FAST_FAILURES = 4
"""Number of probes in a row without an answer after which the health path is
taken for broken, rather than the target for starting or busy."""

BROKEN_INTERVAL_S = 1.5
"""Time between probes of a broken health path. Announcements come at this
interval and say the same."""

TIMEOUT_S = 0.5
"""The target is on the same machine. A probe may wait for a slot like any
request; one that waits for longer counts as not answered."""


class Ask(typing.Protocol):
    """Asks the own target."""

    def __call__(self, path: str) -> collections.abc.Awaitable[int | None]:
        """Returns the time in ms for which it stays cold; None if unknown."""


class WarmthProbe:
    """Asks whenever the warmth of the target is in doubt.

    Args:
        warmth: Whether the target is cold.
        ask: Asks the target.
        clock: Source of time.

    Attributes:
        failures: Number of probes without an answer.
        probes: Number of probes.
    """

    def __init__(
        self,
        *,
        warmth: target_warmth.TargetWarmth,
        ask: Ask,
        clock: clock_interface.Clock,
    ):
        self._warmth = warmth
        self._ask = ask
        self._clock = clock
        self.probes = 0
        self.failures = 0
        self._failures_in_row = 0

    async def run(self) -> typing.NoReturn:
        """Asks until it is cancelled, one probe at a time."""
        while True:
            await self._wait()
            if not self._warmth.wants_probe:
                continue
            await self._clock.sleep_s(self._record(await self.probe()))

    def _record(self, is_answered: bool) -> float:
        """Records the end of a probe; returns the time before another one."""
        if is_answered:
            self._failures_in_row = 0
            self._warmth.is_health_broken = False
            return MIN_INTERVAL_S
        self._failures_in_row += 1
        if self._failures_in_row < FAST_FAILURES:
            return FAILED_INTERVAL_S
        self._warmth.is_health_broken = True
        return BROKEN_INTERVAL_S

    async def _wait(self) -> None:
        """Waits until the target may have to be asked."""
        wait_s = self._warmth.probe_wait_s()
        if wait_s == 0.0:
            return
        try:
            async with asyncio.timeout(wait_s):
                await self._warmth.probe_wanted.wait()
        except TimeoutError:
            pass
        self._warmth.probe_wanted.clear()

    async def probe(self) -> bool:
        """Asks once; returns whether the target said how cold it is."""
        warmth = self._warmth
        epoch, starts = warmth.epoch, warmth.starts
        self.probes += 1
        left_ms = None
        try:
            async with asyncio.timeout(TIMEOUT_S):
                left_ms = await self._ask(warmth.warm_up.probe_path)
        except TimeoutError:
            pass
        if left_ms is None:
            self.failures += 1
            return False
        warmth.answer(left_ms, epoch=epoch, starts=starts)
        return True
