"""The only way to the node's own target."""

import collections.abc
import typing

import anyio

from galenatack import exceptions
from galenatack.interfaces import clock as clock_module
from galenatack.interfaces import target_link
from galenatack.invariants import graceful_stop
from galenatack.invariants import leaving
from galenatack.messages import call as call_message
from galenatack.model import call_request
from galenatack.model import call_result
from galenatack.model import outcome
from galenatack.model import target_answer
from galenatack.routing import results
from galenatack.routing import running_call
from galenatack.routing import slot_queue

_MS_PER_S = 1000
# Calls that were queued when the target left may start until then; the rest
# of the 3 s bound is for the way to the target.
LEAVE_GRACE_S = 2.5
# The target confirms a cancel at once or not at all; the caller waits.
CANCEL_TIMEOUT_S = 0.1
# Calls on a cold target say nothing about its latency.
COLD_TIME_S = 10.0
COLD_CALLS = 20
_SERVER_ERROR = 500
_DRAIN_POLL_S = 0.02


class PostingGuard(typing.Protocol):
    """Runs the dispatch of a posting at most once for its key."""

    async def run_once(
        self,
        request: call_request.CallRequest,
        dispatch: collections.abc.Callable[
            [], collections.abc.Awaitable[call_result.CallResult]
        ],
    ) -> call_result.CallResult:
        """Returns the result of the dispatch, or the recorded one."""


class OnOutcome(typing.Protocol):
    """Takes the evidence of one call."""

    def __call__(
        self, route: str, is_error: bool, latency_ms: float, is_warm: bool
    ) -> None:
        """Records one call that reached the target."""


class InboundGate:
    """Limits, starts, cancels and counts the calls of one target.

    Args:
        node_id: Own node.
        incarnation: Incarnation that issues the node's tickets.
        link: Connection to the target.
        clock: Source of time.
        slots: Calls that the target runs at once.
        queue_entries: Calls that may wait.
        posting_guard: Lets each posting run at most once.
        on_outcome: Takes the evidence of each call.
        is_withdrawn: Tells whether the target's version was withdrawn.
    """

    def __init__(
        self,
        *,
        node_id: str,
        link: target_link.TargetLink,
        clock: clock_module.Clock,
        slots: int,
        queue_entries: int,
        posting_guard: PostingGuard,
        on_outcome: OnOutcome,
        incarnation: int = 0,
        is_withdrawn: collections.abc.Callable[[], bool] = lambda: False,
    ):
        self._node_id = node_id
        self._incarnation = incarnation
        self._link = link
        self._clock = clock
        self._queue = slot_queue.SlotQueue(
            clock=clock, slots=slots, queue_entries=queue_entries
        )
        self._guard = posting_guard
        self._on_outcome = on_outcome
        self._is_withdrawn = is_withdrawn
        self._running: dict[str, running_call.RunningCall] = {}
        self._admitted: set[str] = set()
        self._left_s: float | None = None
        self._first_call_s: float | None = None
        self._calls = 0

    @property
    def in_flight(self) -> int:
        """Calls at the target."""
        return self._queue.in_flight

    @property
    def queued(self) -> int:
        """Calls that wait for a slot."""
        return self._queue.queued

    @property
    def is_leaving(self) -> bool:
        """Whether new work is refused."""
        return self._left_s is not None

    async def handle(self, call: call_message.Call) -> call_result.CallResult:
        """Handles one call and returns its final answer."""
        request = call.request
        if call.target_incarnation not in (0, self._incarnation):
            return results.unknown(
                exceptions.TicketGoneError("ticket of an earlier incarnation")
            )
        deadline_s = self._clock.monotonic_s() + request.deadline_ms / _MS_PER_S
        self._admitted.add(request.call_id)
        try:
            if request.posting:
                return await self._handle_posting(request, deadline_s)
            return await self._admit(request, deadline_s)
        finally:
            self._admitted.discard(request.call_id)

    def leave(self) -> None:
        """Refuses new work from now on; calls in flight go on."""
        if self._left_s is None:
            self._left_s = self._clock.monotonic_s()

    async def drain(self, timeout_s: float) -> bool:
        """Leaves, then waits until no call is in flight.

        Returns:
            True when all calls ended within `timeout_s` seconds.

        Raises:
            graceful_stop.CutCallError: Calls are left, in mode `raise`.
        """
        self.leave()
        end_s = self._clock.monotonic_s() + timeout_s
        while self._admitted and self._clock.monotonic_s() < end_s:
            await self._clock.sleep_s(_DRAIN_POLL_S)
        return graceful_stop.check(
            node_id=self._node_id,
            call_ids=tuple(sorted(self._admitted)),
            drain_s=timeout_s,
        )

    async def cancel(self, call_id: str) -> bool:
        """Drops a call whose caller went away.

        Returns:
            True when the call did not start and never will.
        """
        if self._queue.cancel(call_id):
            return True
        running = self._running.get(call_id)
        if running is None:
            return False
        confirmed = await self._confirm_cancel(call_id)
        running.is_cancel_confirmed |= confirmed
        if confirmed or not running.is_posting:
            running.is_cancelled = True
            running.scope.cancel()
        return confirmed

    async def _handle_posting(
        self, request: call_request.CallRequest, deadline_s: float
    ) -> call_result.CallResult:
        """Runs a posting to its end even when the caller goes away.

        Its outcome has to be recorded for a repeat of the same key. When the
        caller goes away, the target is asked to cancel it.
        """

        async def dispatch() -> call_result.CallResult:
            return await self._admit(request, deadline_s)

        is_done = False

        async def cancel_when_abandoned() -> None:
            try:
                await anyio.sleep_forever()
            finally:
                if not is_done:
                    with anyio.CancelScope(shield=True):
                        await self.cancel(request.call_id)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(cancel_when_abandoned)
            with anyio.CancelScope(shield=True):
                result = await self._guard.run_once(request, dispatch)
            is_done = True
            tasks.cancel_scope.cancel()
        return result

    async def _admit(
        self, request: call_request.CallRequest, deadline_s: float
    ) -> call_result.CallResult:
        try:
            self._check_open()
            await self._queue.acquire(request.call_id, deadline_s)
        except exceptions.CallError as error:
            return results.not_run(error)
        started_s = self._clock.monotonic_s()
        result = None
        try:
            self._check_start(request, started_s, deadline_s)
            result = await self._dispatch(request, started_s, deadline_s)
        except exceptions.CallError as error:
            result = results.not_run(error)
        finally:
            answered = result and result.outcome == outcome.Outcome.ANSWER
            ended_s = self._clock.monotonic_s()
            self._queue.release(ended_s - started_s if answered else None)
        return result

    def _check_open(self) -> None:
        if self._left_s is not None:
            raise exceptions.LeavingError("target is leaving")
        if self._is_withdrawn():
            raise exceptions.LeavingError("target version is withdrawn")

    def _check_start(
        self,
        request: call_request.CallRequest,
        now_s: float,
        deadline_s: float,
    ) -> None:
        if now_s >= deadline_s:
            raise exceptions.DeadlineExceededError("deadline passed")
        if self._is_withdrawn():
            raise exceptions.LeavingError("target version is withdrawn")
        if self._left_s is None:
            return
        if now_s - self._left_s > LEAVE_GRACE_S:
            raise exceptions.LeavingError("target is leaving")
        leaving.check(
            node_id=self._node_id,
            call_id=request.call_id,
            left_s=self._left_s,
            now_s=now_s,
        )

    async def _dispatch(
        self,
        request: call_request.CallRequest,
        started_s: float,
        deadline_s: float,
    ) -> call_result.CallResult:
        remaining_s = deadline_s - started_s
        timed = request._replace(
            deadline_ms=max(1, int(remaining_s * _MS_PER_S))
        )
        is_warm = self._count_call(started_s)
        try:
            answer = await self._call(timed, remaining_s)
        except exceptions.TargetShedError as error:
            # A target may shed load; that is no fault of its version.
            return results.not_run(error)
        except exceptions.TargetConnectError as error:
            self._record(request, True, started_s, is_warm)
            return results.not_run(error)
        except exceptions.CancelledCallError as error:
            # The target is not to blame: no evidence.
            if error.is_confirmed:
                return results.not_run(error)
            return results.unknown(error)
        except exceptions.CallError as error:
            self._record(request, True, started_s, is_warm)
            return await self._settle(request, error)
        is_error = answer.status >= _SERVER_ERROR
        self._record(request, is_error, started_s, is_warm)
        return call_result.CallResult(
            outcome=outcome.Outcome.ANSWER.value,
            status=answer.status,
            headers=answer.headers,
            body=answer.body,
        )

    async def _call(
        self, request: call_request.CallRequest, remaining_s: float
    ) -> target_answer.TargetAnswer:
        with anyio.move_on_after(remaining_s) as scope:
            running = running_call.RunningCall(scope, request.posting)
            self._running[request.call_id] = running
            try:
                return await self._link.call(request)
            except anyio.get_cancelled_exc_class():
                if not scope.cancel_called and not request.posting:
                    # The caller of a read went away.
                    with anyio.CancelScope(shield=True):
                        await self._confirm_cancel(request.call_id)
                raise
            finally:
                del self._running[request.call_id]
        if running.is_cancelled:
            raise exceptions.CancelledCallError(
                "the caller went away",
                is_confirmed=running.is_cancel_confirmed,
            )
        raise exceptions.DeadlineExceededError("no answer by the deadline")

    async def _settle(
        self,
        request: call_request.CallRequest,
        error: exceptions.CallError,
    ) -> call_result.CallResult:
        """Tells `not-run` only when the target confirms the cancel."""
        if await self._confirm_cancel(request.call_id):
            return results.not_run(error)
        return results.unknown(error)

    async def _confirm_cancel(self, call_id: str) -> bool:
        with anyio.move_on_after(CANCEL_TIMEOUT_S):
            return await self._link.cancel(call_id)
        return False

    def _count_call(self, now_s: float) -> bool:
        if self._first_call_s is None:
            self._first_call_s = now_s
        self._calls += 1
        is_aged = now_s - self._first_call_s >= COLD_TIME_S
        return is_aged and self._calls > COLD_CALLS

    def _record(
        self,
        request: call_request.CallRequest,
        is_error: bool,
        started_s: float,
        is_warm: bool,
    ) -> None:
        latency_ms = (self._clock.monotonic_s() - started_s) * _MS_PER_S
        self._on_outcome(request.route, is_error, latency_ms, is_warm)
