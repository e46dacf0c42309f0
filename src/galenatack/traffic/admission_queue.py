"""The slots of a target and the queue in front of them.

Answers the load of a target that gets more calls than it can run: calls wait
only as long as their answer is still worth having, urgent ones go first, and
a call that would come too late is refused at once with the time at which the
queue will have room.
"""

import asyncio
import heapq
import itertools

from galenatack import exceptions
from galenatack.interfaces import clock as clock_interface
from galenatack.interfaces import random_source
from galenatack.traffic import service_times

MS_PER_S = 1000.0

LEAST_RETRY_AFTER_MS = 60
"""A refused caller comes back no sooner than about one service time."""

LONGEST_RETRY_AFTER_MS = 2000

RETRY_SPREAD = 0.5
"""Refused callers are spread over this share of the wait, so that they do
not return together."""

USEFUL_SHARE = 0.75
"""Part of the target latency for the wait and the expected service time. The
rest is for the way and for calls that take longer than expected: a call that
waits and then comes late has kept a slot from one that would have been in
time."""

LEAST_USEFUL_WAIT_MS = 150.0
"""A wait of this length is still quicker than to be refused and come back, also
for a call whose target latency leaves less; its deadline bounds it."""


class _Waiter:
    __slots__ = ("call_id", "expected_ms", "future", "order")

    def __init__(
        self,
        call_id: str,
        order: tuple[int, float, int],
        expected_ms: float,
        future: "asyncio.Future[str]",
    ):
        self.call_id = call_id
        self.order = order
        self.expected_ms = expected_ms
        self.future = future

    def __lt__(self, other: "_Waiter") -> bool:
        return self.order < other.order


_GRANTED = "granted"
_CANCELLED = "cancelled"
_CLOSED = "closed"


class AdmissionQueue:
    """Admits at most `slots` calls at once; the most urgent goes first.

    Args:
        clock: Source of time.
        rng: Spread of the times to come back.
        times: Service times of the target.
    """

    def __init__(
        self,
        *,
        clock: clock_interface.Clock,
        rng: random_source.RandomSource,
        times: service_times.ServiceTimes,
    ):
        self._clock = clock
        self._rng = rng
        self._times = times
        self._numbers = itertools.count()
        self._heap: list[_Waiter] = []
        self._waiting: dict[str, _Waiter] = {}
        self._running: dict[str, tuple[float, float]] = {}
        self.slots = 1

    @property
    def running(self) -> int:
        """Number of calls that hold a slot."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Number of calls that wait."""
        return len(self._waiting)

    async def acquire(
        self,
        call_id: str,
        *,
        route: str,
        priority: int,
        deadline_s: float,
        target_latency_ms: float,
    ) -> None:
        """Takes a slot, at once or after waiting.

        Args:
            call_id: The call.
            route: Route of the call.
            priority: Rank; 0 goes first.
            deadline_s: Monotonic time by when the call must have ended.
            target_latency_ms: Time within which the answer is worth most; 0
                when only the deadline counts.

        Raises:
            exceptions.OverloadedError: It would come too late.
            exceptions.CancelledCallError: It was cancelled while it waited.
            exceptions.LeavingError: The queue was closed while it waited.
        """
        expected_ms = self._times.expected_ms(route)
        if len(self._running) < self.slots and not self._waiting:
            self._start(call_id, expected_ms)
            return
        allowed_ms = self._allowed_ms(
            expected_ms, deadline_s, target_latency_ms
        )
        wait_ms = self.expected_wait_ms(priority, deadline_s)
        if wait_ms > allowed_ms:
            raise self._overloaded(wait_ms, allowed_ms)
        await self._wait(call_id, priority, deadline_s, expected_ms, allowed_ms)

    def release(self, call_id: str) -> None:
        """Gives the slot of a call to the most urgent one that waits."""
        self._running.pop(call_id, None)
        self._grant()

    def cancel(self, call_id: str) -> bool:
        """Removes a waiting call; returns False when it does not wait."""
        waiter = self._waiting.pop(call_id, None)
        if waiter is None:
            return False
        _settle(waiter, _CANCELLED)
        return True

    def close(self) -> None:
        """Refuses all calls that wait."""
        waiting, self._waiting = self._waiting, {}
        self._heap.clear()
        for waiter in waiting.values():
            _settle(waiter, _CLOSED)

    def expected_wait_ms(self, priority: int, deadline_s: float) -> float:
        """Returns how long a call would wait for a slot.

        Only calls that go first count: a short call with a near deadline
        hardly waits behind a long queue of others.
        """
        if len(self._running) < self.slots and not self._waiting:
            return 0.0
        ahead_ms = sum(
            waiter.expected_ms
            for waiter in self._waiting.values()
            if waiter.order[:2] <= (priority, deadline_s)
        )
        return (ahead_ms + self._running_ms()) / max(1, self.slots)

    def _running_ms(self) -> float:
        """Returns the mean time of the calls that hold slots.

        Slots that are taken at random moments become free one after the
        other, a mean time divided by their number apart; the first is free
        after one such step, not after half of a call. A call that takes
        longer than expected counts with the time that it has taken.
        """
        if not self._running:
            return 0.0
        now_s = self._clock.monotonic_s()
        total_ms = sum(
            max(expected_ms, (now_s - started_s) * MS_PER_S)
            for started_s, expected_ms in self._running.values()
        )
        return total_ms / len(self._running)

    def _allowed_ms(
        self, expected_ms: float, deadline_s: float, target_latency_ms: float
    ) -> float:
        left_ms = (deadline_s - self._clock.monotonic_s()) * MS_PER_S
        allowed_ms = left_ms - expected_ms
        if target_latency_ms:
            useful_ms = max(
                target_latency_ms * USEFUL_SHARE - expected_ms,
                LEAST_USEFUL_WAIT_MS,
            )
            allowed_ms = min(allowed_ms, useful_ms)
        return allowed_ms

    def _overloaded(
        self, wait_ms: float, allowed_ms: float
    ) -> exceptions.OverloadedError:
        excess_ms = max(0.0, wait_ms - max(0.0, allowed_ms))
        spread = 1.0 + self._rng.random() * RETRY_SPREAD
        retry_after_ms = max(LEAST_RETRY_AFTER_MS, excess_ms) * spread
        return exceptions.OverloadedError(
            f"wait of {wait_ms:.0f} ms exceeds {max(0.0, allowed_ms):.0f} ms"
            f" with {self.queued} queued and {self.running} running",
            retry_after_ms=int(min(LONGEST_RETRY_AFTER_MS, retry_after_ms)),
        )

    async def _wait(
        self,
        call_id: str,
        priority: int,
        deadline_s: float,
        expected_ms: float,
        allowed_ms: float,
    ) -> None:
        loop = asyncio.get_running_loop()
        future: asyncio.Future[str] = loop.create_future()
        order = (priority, deadline_s, next(self._numbers))
        waiter = _Waiter(call_id, order, expected_ms, future)
        self._waiting[call_id] = waiter
        heapq.heappush(self._heap, waiter)
        timer = loop.call_later(
            allowed_ms / MS_PER_S, _expire, self._waiting, waiter
        )
        try:
            verdict = await future
        except BaseException:
            if future.done() and not future.cancelled():
                self.release(call_id)
            self._waiting.pop(call_id, None)
            raise
        finally:
            timer.cancel()
        if verdict == _CANCELLED:
            raise exceptions.CancelledCallError(
                "cancelled in the queue", is_confirmed=True
            )
        if verdict == _CLOSED:
            raise exceptions.LeavingError("the target is leaving")
        if verdict != _GRANTED:
            wait_ms = self.expected_wait_ms(priority, deadline_s)
            raise self._overloaded(wait_ms + expected_ms, 0.0)

    def _start(self, call_id: str, expected_ms: float) -> None:
        self._running[call_id] = (self._clock.monotonic_s(), expected_ms)

    def _grant(self) -> None:
        while self._heap and len(self._running) < self.slots:
            waiter = heapq.heappop(self._heap)
            if self._waiting.get(waiter.call_id) is not waiter:
                continue
            del self._waiting[waiter.call_id]
            self._start(waiter.call_id, waiter.expected_ms)
            _settle(waiter, _GRANTED)


_EXPIRED = "expired"


def _expire(waiting: dict[str, _Waiter], waiter: _Waiter) -> None:
    if waiting.get(waiter.call_id) is waiter:
        del waiting[waiter.call_id]
        _settle(waiter, _EXPIRED)


def _settle(waiter: _Waiter, verdict: str) -> None:
    if not waiter.future.done():
        waiter.future.set_result(verdict)
