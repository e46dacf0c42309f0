"""Slots of a target and the bounded queue in front of them."""

import collections
import math

import anyio

from galenatack import exceptions
from galenatack.interfaces import clock as clock_module

_MS_PER_S = 1000
_MIN_RETRY_AFTER_MS = 50
_MAX_RETRY_AFTER_MS = 10_000
# Weight of the latest call in the moving average of the service time.
_SMOOTHING = 0.1


class _Waiter:
    def __init__(self, call_id: str):
        self.call_id = call_id
        self.event = anyio.Event()
        self.granted = False


class SlotQueue:
    """Admits at most `slots` concurrent calls; others wait in order of arrival.

    Args:
        clock: Source of time.
        slots: Maximum number of concurrent calls at the target.
        queue_entries: Maximum number of waiting calls.
    """

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        slots: int,
        queue_entries: int,
    ):
        self._clock = clock
        self._slots = slots
        self.queue_entries = queue_entries
        self._waiters: collections.deque[_Waiter] = collections.deque()
        self._mean_service_s = 0.0
        self.in_flight = 0

    @property
    def queued(self) -> int:
        """Number of calls that wait for a slot."""
        return len(self._waiters)

    async def acquire(self, call_id: str, deadline_s: float) -> None:
        """Acquires a slot, waiting for one if necessary.

        Args:
            call_id: Id of the call, for `cancel`.
            deadline_s: Monotonic time by which the call must have ended.

        Raises:
            exceptions.OverloadedError: The call would not end in time, or the
                queue is full.
            exceptions.DeadlineExceededError: The deadline passed while the
                call waited.
            exceptions.CancelledCallError: The call was cancelled.
        """
        self._check(deadline_s)
        if self.in_flight < self._slots and not self._waiters:
            self.in_flight += 1
            return
        waiter = _Waiter(call_id)
        self._waiters.append(waiter)
        await self._wait(waiter, deadline_s)

    def release(self, duration_s: float | None) -> None:
        """Releases a slot to the first waiting call.

        Args:
            duration_s: Duration of the call, or None if it should not count
                for the mean service time.
        """
        if duration_s is not None:
            weight = _SMOOTHING if self._mean_service_s else 1.0
            self._mean_service_s += weight * (duration_s - self._mean_service_s)
        self.in_flight -= 1
        while self._waiters and self.in_flight < self._slots:
            self._grant(self._waiters.popleft())

    def cancel(self, call_id: str) -> bool:
        """Removes a waiting call; returns False if it is not waiting."""
        for waiter in self._waiters:
            if waiter.call_id == call_id:
                self._waiters.remove(waiter)
                waiter.event.set()
                return True
        return False

    def waiting(self) -> tuple[str, ...]:
        """Returns the ids of the waiting calls."""
        return tuple(waiter.call_id for waiter in self._waiters)

    def retry_after_ms(self) -> int:
        """Returns the expected time until a slot is free."""
        ahead = len(self._waiters) + 1
        wait_ms = math.ceil(self._wait_s(ahead) * _MS_PER_S)
        return min(_MAX_RETRY_AFTER_MS, max(_MIN_RETRY_AFTER_MS, wait_ms))

    def _wait_s(self, ahead: int) -> float:
        return self._mean_service_s * ahead / self._slots

    def _check(self, deadline_s: float) -> None:
        is_full = self.in_flight >= self._slots
        if is_full and len(self._waiters) >= self.queue_entries:
            raise self._overloaded("queue is full")
        wait_s = self._wait_s(len(self._waiters) + 1) if is_full else 0.0
        expected_end_s = (
            self._clock.monotonic_s() + wait_s + self._mean_service_s
        )
        if is_full and expected_end_s > deadline_s:
            raise self._overloaded("call would miss its deadline")

    def _overloaded(self, message: str) -> exceptions.OverloadedError:
        return exceptions.OverloadedError(
            message, retry_after_ms=self.retry_after_ms()
        )

    def _grant(self, waiter: _Waiter) -> None:
        self.in_flight += 1
        waiter.granted = True
        waiter.event.set()

    async def _wait(self, waiter: _Waiter, deadline_s: float) -> None:
        wait_s = deadline_s - self._mean_service_s - self._clock.monotonic_s()
        try:
            with anyio.move_on_after(max(0.0, wait_s)):
                await waiter.event.wait()
        except BaseException:
            if waiter.granted:
                self.release(None)
            elif waiter in self._waiters:
                self._waiters.remove(waiter)
            raise
        if waiter.granted:
            return
        if waiter.event.is_set():
            raise exceptions.CancelledCallError(
                "cancelled in the queue", is_confirmed=True
            )
        self._waiters.remove(waiter)
        raise exceptions.DeadlineExceededError("deadline passed in the queue")
