"""Slots of a target and the admission queue in front of them.

Protects a target that receives more calls than it can run. Calls wait only
while their answer can still be in time, in the order of `turn_order`. A call
that would be late is refused at once, with the time after which the queue is
expected to have room. A target may also limit the rate of its calls; then they
wait for their turn in the same queue, by the same rules.
"""

import asyncio
import collections.abc
import itertools

from galenatack import exceptions
from galenatack.admission import call_pacer
from galenatack.admission import return_times
from galenatack.admission import service_times
from galenatack.admission import stall_detector
from galenatack.admission import turn_order
from galenatack.admission import waiting_call
from galenatack.interfaces import clock as clock_interface
from galenatack.interfaces import random_source
from galenatack.model import admission_terms

MS_PER_S = 1000.0

TARGET_LATENCY_SHARE = 0.75
"""Share of the target latency that the wait and the expected service time may
use. The rest covers the network and calls that take longer than expected. A
call that waits and is then late has used a slot that another call could have
used in time."""

MIN_GRANT_DELAY_S = 0.001
"""Timer resolution; the pace may ask for a shorter delay."""

NEXT_SLOT_FACTOR = 1.25
"""Waits for the next slot that are always allowed, in the deadline. With few
slots and runs that wait for calls of their own, one such wait is longer than
what the objective leaves; all gates that have no slot free would refuse."""

MIN_ALLOWED_WAIT_MS = 150.0
"""A wait of this length is shorter than a refusal and a retry, so it is allowed
even if the target latency leaves less; the deadline still applies."""

STALLED_WAIT_MS = 2000.0
"""Wait at a stalled target: callers prefer every other one."""


class AdmissionQueue:
    """Admits at most `slots` concurrent calls, the most urgent first.

    Args:
        clock: Source of time.
        rng: Source of jitter for the retry times.
        times: Service times of the target.
        stall: Finds out whether the target has stalled; None if nothing does.
    """

    def __init__(
        self,
        *,
        clock: clock_interface.Clock,
        rng: random_source.RandomSource,
        times: service_times.ServiceTimes,
        stall: stall_detector.StallDetector | None = None,
    ):
        self._clock = clock
        self._times = times
        self._stall = stall
        self._returns = return_times.ReturnTimes(clock=clock, rng=rng)
        self._arrival_numbers = itertools.count()
        self._waiting = turn_order.TurnOrder(clock=clock)
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

    @property
    def stalls(self) -> int:
        """Number of times that the target has stopped answering."""
        return 0 if self._stall is None else self._stall.stalls

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
        waited_ms: float = 0.0,
        tenant: str = "",
        cost_ms: float = 0.0,
        max_wait_ms: float | None = None,
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
            waited_ms: How much of that its request has used before.
            tenant: Tenant of the call; empty without one.
            cost_ms: Work of the call; 0 if it is not known.
            max_wait_ms: Wait beyond which another gate is the better choice;
                None for no limit.
            expected_ms: Time for which the call is expected to hold its slot;
                None for the mean of its route.

        Raises:
            exceptions.OverloadedError: The answer would be too late.
            exceptions.OfferDeclinedError: The wait would be longer than
                `max_wait_ms`.
            exceptions.CancelledCallError: The call was cancelled while it
                waited.
            exceptions.CallError: All waiting calls were refused; the error
                tells why.
        """
        terms = admission_terms.AdmissionTerms(
            call_id,
            route,
            priority,
            deadline_s,
            target_latency_ms,
            waited_ms,
            tenant,
            cost_ms,
        )
        if expected_ms is None:
            expected_ms = self._times.expected_ms(route)
        self._check_stall(terms)
        if self._is_idle() and not self._pacer.wait_s():
            self._start(call_id, expected_ms)
            return
        wait_ms = self._wait_ms(terms, expected_ms)
        allowed_ms = self._check_wait(terms, expected_ms, wait_ms, max_wait_ms)
        await self._wait(terms, expected_ms, allowed_ms)

    def check(
        self,
        terms: admission_terms.AdmissionTerms,
        *,
        ready_ms: float,
        max_wait_ms: float | None,
    ) -> None:
        """Checks a call whose body is not here yet.

        Args:
            terms: Terms of the call.
            ready_ms: Time until its body can begin to arrive.
            max_wait_ms: Wait beyond which another gate is the better choice;
                None for no limit.

        Raises:
            exceptions.OverloadedError: The answer would be too late.
            exceptions.OfferDeclinedError: The wait would be longer than
                `max_wait_ms`.
        """
        if self._is_stalled() and self._is_idle():
            # `acquire` decides whether the call tests the target.
            return
        expected_ms = self._times.expected_ms(terms.route)
        wait_ms = max(ready_ms, self._wait_ms(terms, expected_ms))
        self._check_wait(terms, expected_ms, wait_ms, max_wait_ms)

    def release(self, call_id: str) -> None:
        """Passes the slot of a call on to the most urgent waiting call."""
        self._running.pop(call_id, None)
        self._grant()

    def note_answer(self) -> None:
        """Notes that the target has answered a call."""
        if self._stall is not None:
            self._stall.note_answer()

    def cancel(self, call_id: str) -> bool:
        """Removes a waiting call; returns False if it is not waiting."""
        call = self._waiting.remove(call_id)
        if call is None:
            return False
        call.end(waiting_call.CANCELLED)
        return True

    def close(self) -> None:
        """Refuses all waiting calls because the target is leaving."""
        self.refuse_waiting(
            lambda: exceptions.LeavingError("the target is leaving")
        )
        if self._grant_timer is not None:
            self._grant_timer.cancel()

    def refuse_waiting(
        self, make_error: collections.abc.Callable[[], exceptions.CallError]
    ) -> None:
        """Refuses all waiting calls, each with an error of its own."""
        for call in self._waiting.clear():
            call.end(make_error())

    def expected_wait_ms(
        self,
        priority: int,
        deadline_s: float,
        *,
        route: str = "",
        tenant: str = "",
    ) -> float:
        """Returns how long a call in time would wait for a slot.

        Only calls that would be admitted earlier count: a call with a near
        deadline is hardly delayed by a long queue.
        """
        terms = admission_terms.AdmissionTerms(
            "", route, priority, deadline_s, 0.0, tenant=tenant
        )
        return self._wait_ms(terms, self._times.expected_ms(route))

    def expected_waits_ms(self) -> tuple[int, ...]:
        """Returns how long a new call would wait, by its priority."""
        if self._is_stalled():
            return (int(STALLED_WAIT_MS),)
        return tuple(
            int(self._slot_wait_ms(*ahead))
            for ahead in self._waiting.by_priority()
        )

    def _wait_ms(
        self, terms: admission_terms.AdmissionTerms, expected_ms: float
    ) -> float:
        if self._is_stalled():
            return STALLED_WAIT_MS
        has_objective = terms.target_latency_ms > 0
        is_late = has_objective and terms.objective_left_ms < expected_ms
        ahead = self._waiting.ahead(
            terms, is_late=is_late, cost_ms=terms.cost_ms or expected_ms
        )
        return self._slot_wait_ms(*ahead)

    def _slot_wait_ms(self, calls: float, work_ms: float) -> float:
        """Returns the wait behind so many calls and so much work."""
        paced_ms = self._pacer.wait_s(calls) * MS_PER_S
        if self._is_idle():
            return paced_ms
        slot_ms = (work_ms + self._running_ms()) / max(1, self.slots)
        return max(slot_ms, paced_ms)

    def _is_stalled(self) -> bool:
        return self._stall is not None and self._stall.is_stalled

    def _check_stall(self, terms: admission_terms.AdmissionTerms) -> None:
        """Refuses calls while the target is stalled, but for a test.

        Raises:
            exceptions.OverloadedError: The target has stalled.
        """
        if self._stall is None or not self._stall.check(
            self._running, self.slots
        ):
            return
        for call in self._waiting.clear():
            call.end(waiting_call.REFUSED)
        if self._is_idle() and self._stall.may_test(self._running):
            self._stall.start_test(terms.call_id)
            return
        raise self._overloaded(STALLED_WAIT_MS, 0.0, terms)

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

    def _check_wait(
        self,
        terms: admission_terms.AdmissionTerms,
        expected_ms: float,
        wait_ms: float,
        max_wait_ms: float | None,
    ) -> float:
        """Returns how long a call may wait, if its expected wait is shorter."""
        if max_wait_ms is not None and wait_ms > max_wait_ms:
            raise exceptions.OfferDeclinedError(
                f"wait of {wait_ms:.0f} ms exceeds the offer's"
                f" {max_wait_ms:.0f} ms"
            )
        allowed_ms = self._allowed_ms(expected_ms, terms)
        if wait_ms > allowed_ms:
            raise self._overloaded(wait_ms, allowed_ms, terms)
        return allowed_ms

    def _allowed_ms(
        self, expected_ms: float, terms: admission_terms.AdmissionTerms
    ) -> float:
        now_s = self._clock.monotonic_s()
        allowed_ms = (terms.deadline_s - now_s) * MS_PER_S - expected_ms
        if terms.target_latency_ms:
            latency_bound_ms = max(
                terms.objective_left_ms * TARGET_LATENCY_SHARE - expected_ms,
                MIN_ALLOWED_WAIT_MS,
                # With nothing ahead of it, a call is next.
                NEXT_SLOT_FACTOR * self._interval_ms(),
            )
            allowed_ms = min(allowed_ms, latency_bound_ms)
        return allowed_ms

    def _overloaded(
        self,
        wait_ms: float,
        allowed_ms: float,
        terms: admission_terms.AdmissionTerms,
    ) -> exceptions.OverloadedError:
        left_s = terms.deadline_s - self._clock.monotonic_s()
        retry_after_ms = self._returns.book_ms(
            wait_ms - max(0.0, allowed_ms),
            self._interval_ms(),
            left_s * MS_PER_S,
            priority=terms.priority,
            tenant=terms.tenant,
        )
        stalled = " of a stalled target" if self._is_stalled() else ""
        return exceptions.OverloadedError(
            f"wait of {wait_ms:.0f} ms exceeds {max(0.0, allowed_ms):.0f} ms"
            f"{stalled} with {self.queued} queued, {self.running} running and"
            f" {_limit_text(self._pacer.limit_per_s)}",
            retry_after_ms=retry_after_ms,
        )

    def _interval_ms(self) -> float:
        """Returns after which time a further call may start."""
        slot_ms = self._running_ms() / max(1, self.slots)
        return max(slot_ms, self._pacer.interval_s * MS_PER_S)

    async def _wait(
        self,
        terms: admission_terms.AdmissionTerms,
        expected_ms: float,
        allowed_ms: float,
    ) -> None:
        loop = asyncio.get_running_loop()
        call = waiting_call.WaitingCall(
            terms,
            next(self._arrival_numbers),
            now_s=self._clock.monotonic_s(),
            expected_ms=expected_ms,
            allowed_ms=allowed_ms,
            future=loop.create_future(),
        )
        self._waiting.push(call)
        self._refuse_hopeless()
        self._grant()
        timer = loop.call_later(allowed_ms / MS_PER_S, self._expire, call)
        try:
            result = await call.future
        except BaseException:
            if call.future.done() and not call.future.cancelled():
                self.release(terms.call_id)
            self._waiting.remove(terms.call_id)
            raise
        finally:
            timer.cancel()
        if result == waiting_call.CANCELLED:
            raise exceptions.CancelledCallError(
                "cancelled in the queue", is_confirmed=True
            )
        if isinstance(result, exceptions.CallError):
            raise result
        if result != waiting_call.GRANTED:
            wait_ms = self._wait_ms(terms, expected_ms)
            raise self._overloaded(wait_ms + expected_ms, 0.0, terms)

    def _start(self, call_id: str, expected_ms: float) -> None:
        self._running[call_id] = (self._clock.monotonic_s(), expected_ms)
        self._pacer.record_start()

    def _grant(self) -> None:
        while self._waiting and len(self._running) < self.slots:
            wait_s = self._pacer.wait_s()
            if wait_s:
                self._grant_after(wait_s)
                return
            call = self._waiting.pop()
            self._start(call.call_id, call.expected_ms)
            call.end(waiting_call.GRANTED)

    def _grant_after(self, wait_s: float) -> None:
        """Resumes granting once the pace allows another call."""
        if self._grant_timer is not None:
            self._grant_timer.cancel()
        self._grant_timer = asyncio.get_running_loop().call_later(
            max(MIN_GRANT_DELAY_S, wait_s), self._grant
        )

    def _refuse_hopeless(self) -> None:
        """Refuses the waiting calls whose turn would come too late.

        A call that others have overtaken since is told early, while its caller
        has time to come back. The calls that run count as if they ended now.
        """
        now_s = self._clock.monotonic_s()
        calls, work_ms = 0, 0.0
        for call in self._waiting.in_order():
            slots_s = work_ms / max(1, self.slots) / MS_PER_S
            if now_s + max(slots_s, self._pacer.wait_s(calls)) > call.expires_s:
                self._expire(call)
            else:
                calls += 1
                work_ms += call.expected_ms

    def _expire(self, call: waiting_call.WaitingCall) -> None:
        if call in self._waiting:
            self._waiting.remove(call.call_id)
            call.end(waiting_call.REFUSED)


def _limit_text(limit_per_s: float | None) -> str:
    if limit_per_s is None:
        return "no rate limit"
    return f"a limit of {limit_per_s:g} calls/s"
