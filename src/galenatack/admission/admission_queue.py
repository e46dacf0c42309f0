"""Slots of a target and the admission queue in front of them.

Protects a target that receives more calls than it can run. Calls wait only
while their answer can still be in time, and urgent calls go first. A call that
would be late is refused at once, with the time after which the queue is
expected to have room. A target may also limit the rate of its calls; then they
wait for their turn in the same queue, by the same rules.
"""

import asyncio
import heapq
import itertools

from galenatack import exceptions
from galenatack.admission import call_pacer
from galenatack.admission import service_times
from galenatack.interfaces import clock as clock_interface
from galenatack.interfaces import random_source

MS_PER_S = 1000.0

MIN_RETRY_AFTER_MS = 60
"""A refused caller retries after about one service time at the earliest."""

MAX_RETRY_AFTER_MS = 2000

RETRY_JITTER = 0.5
"""Jitter as a share of the wait, which keeps refused callers from retrying at
the same moment."""

TARGET_LATENCY_SHARE = 0.75
"""Share of the target latency that the wait and the expected service time may
use. The rest covers the network and calls that take longer than expected. A
call that waits and is then late has used a slot that another call could have
used in time."""

MIN_GRANT_DELAY_S = 0.001
"""Timer resolution; the pace may ask for a shorter delay."""

MIN_ALLOWED_WAIT_MS = 150.0
"""A wait of this length is shorter than a refusal and a retry, so it is allowed
even if the target latency leaves less; the deadline still applies."""


class _Waiter:
    __slots__ = ("call_id", "expected_ms", "expires_s", "future", "order")

    def __init__(
        self,
        call_id: str,
        order: tuple[int, float, int],
        expected_ms: float,
        expires_s: float,
        future: "asyncio.Future[str]",
    ):
        self.call_id = call_id
        self.order = order
        self.expected_ms = expected_ms
        self.expires_s = expires_s
        self.future = future

    def __lt__(self, other: "_Waiter") -> bool:
        return self.order < other.order


_GRANTED = "granted"
_CANCELLED = "cancelled"
_CLOSED = "closed"


class AdmissionQueue:
    """Admits at most `slots` concurrent calls, the most urgent first.

    Args:
        clock: Source of time.
        rng: Source of jitter for the retry times.
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
        self._arrival_numbers = itertools.count()
        self._heap: list[_Waiter] = []
        self._waiting: dict[str, _Waiter] = {}
        self._running: dict[str, tuple[float, float]] = {}
        self._pacer = call_pacer.CallPacer(clock=clock)
        self._grant_timer: asyncio.TimerHandle | None = None
        self.slots = 1

    @property
    def running(self) -> int:
        """Number of calls that hold a slot."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Number of calls that wait for a slot."""
        return len(self._waiting)

    @property
    def rate_limit_per_s(self) -> float | None:
        """Calls per second that the target takes; None without a limit."""
        return self._pacer.limit_per_s

    def limit_rate(self, limit_per_s: float | None) -> None:
        """Limits the calls per second that get a slot; None lifts the limit.

        Waiting calls whose turn would now come too late are refused at once.
        """
        self._pacer.set_limit(limit_per_s)
        self._refuse_hopeless()
        self._grant()

    async def acquire(
        self,
        call_id: str,
        *,
        route: str,
        priority: int,
        deadline_s: float,
        target_latency_ms: float,
        expected_ms: float | None = None,
    ) -> None:
        """Acquires a slot, waiting for one if necessary.

        Args:
            call_id: Id of the call.
            route: Route of the call.
            priority: Priority of the call; 0 is the most urgent.
            deadline_s: Monotonic time by which the call must have ended.
            target_latency_ms: Latency that the route aims for; 0 if only the
                deadline applies.
            expected_ms: Time for which the call is expected to hold its slot;
                None for the mean of its route.

        Raises:
            exceptions.OverloadedError: The answer would be too late.
            exceptions.CancelledCallError: The call was cancelled while it
                waited.
            exceptions.LeavingError: The queue was closed while the call
                waited.
        """
        if expected_ms is None:
            expected_ms = self._times.expected_ms(route)
        if self._is_idle() and not self._pacer.wait_s():
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
        """Passes the slot of a call on to the most urgent waiting call."""
        self._running.pop(call_id, None)
        self._grant()

    def cancel(self, call_id: str) -> bool:
        """Removes a waiting call; returns False if it is not waiting."""
        waiter = self._waiting.pop(call_id, None)
        if waiter is None:
            return False
        _resolve(waiter, _CANCELLED)
        return True

    def close(self) -> None:
        """Refuses all waiting calls."""
        waiting, self._waiting = self._waiting, {}
        self._heap.clear()
        for waiter in waiting.values():
            _resolve(waiter, _CLOSED)
        if self._grant_timer is not None:
            self._grant_timer.cancel()

    def expected_wait_ms(self, priority: int, deadline_s: float) -> float:
        """Returns how long a call would wait for a slot.

        Only calls that would be admitted earlier count: a call with a near
        deadline is hardly delayed by a long queue.
        """
        ahead = [
            waiter.expected_ms
            for waiter in self._waiting.values()
            if waiter.order[:2] <= (priority, deadline_s)
        ]
        paced_ms = self._pacer.wait_s(len(ahead)) * MS_PER_S
        if self._is_idle():
            return paced_ms
        slot_ms = (sum(ahead) + self._running_ms()) / max(1, self.slots)
        return max(slot_ms, paced_ms)

    def _is_idle(self) -> bool:
        """Returns whether a slot is free and no call waits for it."""
        return len(self._running) < self.slots and not self._waiting

    def _running_ms(self) -> float:
        """Returns the mean duration of the calls that hold slots.

        Slots that were taken at random moments become free at intervals of
        the mean duration divided by the number of slots; the first is free
        after one interval, not after half of a call. A call that takes longer
        than expected counts with its elapsed time.
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
            latency_bound_ms = max(
                target_latency_ms * TARGET_LATENCY_SHARE - expected_ms,
                MIN_ALLOWED_WAIT_MS,
            )
            allowed_ms = min(allowed_ms, latency_bound_ms)
        return allowed_ms

    def _overloaded(
        self, wait_ms: float, allowed_ms: float
    ) -> exceptions.OverloadedError:
        excess_ms = max(0.0, wait_ms - max(0.0, allowed_ms))
        jitter = 1.0 + self._rng.random() * RETRY_JITTER
        retry_after_ms = max(MIN_RETRY_AFTER_MS, excess_ms) * jitter
        return exceptions.OverloadedError(
            f"wait of {wait_ms:.0f} ms exceeds {max(0.0, allowed_ms):.0f} ms"
            f" with {self.queued} queued, {self.running} running and"
            f" {_limit_text(self._pacer.limit_per_s)}",
            retry_after_ms=int(min(MAX_RETRY_AFTER_MS, retry_after_ms)),
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
        order = (priority, deadline_s, next(self._arrival_numbers))
        allowed_s = allowed_ms / MS_PER_S
        waiter = _Waiter(
            call_id,
            order,
            expected_ms,
            self._clock.monotonic_s() + allowed_s,
            future,
        )
        self._waiting[call_id] = waiter
        heapq.heappush(self._heap, waiter)
        self._grant()
        timer = loop.call_later(allowed_s, _expire, self._waiting, waiter)
        try:
            result = await future
        except BaseException:
            if future.done() and not future.cancelled():
                self.release(call_id)
            self._waiting.pop(call_id, None)
            raise
        finally:
            timer.cancel()
        if result == _CANCELLED:
            raise exceptions.CancelledCallError(
                "cancelled in the queue", is_confirmed=True
            )
        if result == _CLOSED:
            raise exceptions.LeavingError("the target is leaving")
        if result != _GRANTED:
            wait_ms = self.expected_wait_ms(priority, deadline_s)
            raise self._overloaded(wait_ms + expected_ms, 0.0)

    def _start(self, call_id: str, expected_ms: float) -> None:
        self._running[call_id] = (self._clock.monotonic_s(), expected_ms)
        self._pacer.record_start()

    def _grant(self) -> None:
        while self._heap and len(self._running) < self.slots:
            wait_s = self._pacer.wait_s()
            if wait_s:
                self._grant_after(wait_s)
                return
            waiter = heapq.heappop(self._heap)
            if self._waiting.get(waiter.call_id) is not waiter:
                continue
            del self._waiting[waiter.call_id]
            self._start(waiter.call_id, waiter.expected_ms)
            _resolve(waiter, _GRANTED)

    def _grant_after(self, wait_s: float) -> None:
        """Resumes granting once the pace allows another call."""
        if self._grant_timer is not None:
            self._grant_timer.cancel()
        self._grant_timer = asyncio.get_running_loop().call_later(
            max(MIN_GRANT_DELAY_S, wait_s), self._grant
        )

    def _refuse_hopeless(self) -> None:
        """Refuses the waiting calls whose turn would come too late."""
        now_s = self._clock.monotonic_s()
        ahead = 0
        for waiter in sorted(self._waiting.values()):
            if now_s + self._pacer.wait_s(ahead) > waiter.expires_s:
                _expire(self._waiting, waiter)
            else:
                ahead += 1


def _limit_text(limit_per_s: float | None) -> str:
    if limit_per_s is None:
        return "no rate limit"
    return f"a limit of {limit_per_s:g} calls/s"


_EXPIRED = "expired"


def _expire(waiting: dict[str, _Waiter], waiter: _Waiter) -> None:
    if waiting.get(waiter.call_id) is waiter:
        del waiting[waiter.call_id]
        _resolve(waiter, _EXPIRED)


def _resolve(waiter: _Waiter, result: str) -> None:
    if not waiter.future.done():
        waiter.future.set_result(result)
