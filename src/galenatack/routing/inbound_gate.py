"""Admission of calls to the local target."""

import collections.abc

import anyio

from galenatack import exceptions
from galenatack.interfaces import clock as clock_module
from galenatack.interfaces import posting_guard as posting_guard_module
from galenatack.interfaces import target_link
from galenatack.invariants import graceful_stop
from galenatack.invariants import leaving
from galenatack.messages import call as call_message
from galenatack.model import call_request
from galenatack.model import call_result
from galenatack.model import outcome
from galenatack.routing import dispatcher
from galenatack.routing import local_replies
from galenatack.routing import slot_queue

_MS_PER_S = 1000
# Calls that were queued when the target began to leave may start within this
# time; the rest of the 3 s bound is for the connection to the target.
LEAVE_GRACE_S = 2.5
_DRAIN_POLL_S = 0.02


class InboundGate:
    """Limits, starts, cancels and counts the calls of one target.

    Args:
        node_id: Own node.
        incarnation: Incarnation that issues the node's tickets.
        link: Connection to the target.
        clock: Source of time.
        slots: Maximum number of concurrent calls at the target.
        queue_entries: Maximum number of waiting calls, until `limit_queue`
            changes it.
        posting_guard: Ensures that each posting runs at most once.
        on_outcome: Receives the outcome of each call.
        is_withdrawn: Returns whether the target's version is withdrawn.
    """

    def __init__(
        self,
        *,
        node_id: str,
        link: target_link.TargetLink,
        clock: clock_module.Clock,
        slots: int,
        queue_entries: int,
        posting_guard: posting_guard_module.PostingGuard,
        on_outcome: dispatcher.OnOutcome,
        incarnation: int = 0,
        is_withdrawn: collections.abc.Callable[[], bool] = lambda: False,
    ):
        self._node_id = node_id
        self._incarnation = incarnation
        self._clock = clock
        self._queue = slot_queue.SlotQueue(
            clock=clock, slots=slots, queue_entries=queue_entries
        )
        self._guard = posting_guard
        self._dispatcher = dispatcher.Dispatcher(
            link=link, clock=clock, on_outcome=on_outcome
        )
        self._is_withdrawn = is_withdrawn
        self._admitted: set[str] = set()
        self._leaving_since_s: float | None = None

    @property
    def in_flight(self) -> int:
        """Number of calls at the target."""
        return self._queue.in_flight

    @property
    def queued(self) -> int:
        """Number of calls that wait for a slot."""
        return self._queue.queued

    @property
    def is_leaving(self) -> bool:
        """Whether new work is refused."""
        return self._leaving_since_s is not None

    async def handle(self, call: call_message.Call) -> call_result.CallResult:
        """Handles one call and returns its final answer."""
        request = call.request
        if call.target_incarnation not in (0, self._incarnation):
            return local_replies.unknown(
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

    def limit_queue(self, queue_entries: int) -> None:
        """Sets the queue length of the profile in force."""
        self._queue.queue_entries = queue_entries

    def leave(self) -> None:
        """Refuses new work from now on; calls in flight continue."""
        if self._leaving_since_s is None:
            self._leaving_since_s = self._clock.monotonic_s()

    async def drain(self, timeout_s: float) -> bool:
        """Refuses new work and waits until no call is in flight.

        Returns:
            True if all calls ended within `timeout_s` seconds.

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
        """Cancels a call whose caller has disconnected.

        Returns:
            True if the call has not started and never will.
        """
        if self._queue.cancel(call_id):
            return True
        return await self._dispatcher.cancel(call_id)

    async def _handle_posting(
        self, request: call_request.CallRequest, deadline_s: float
    ) -> call_result.CallResult:
        """Runs a posting to its end even if the caller disconnects.

        The outcome has to be recorded for a retry with the same key. If the
        caller disconnects, the target is asked to cancel the posting.
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
            return local_replies.not_run(error)
        started_s = self._clock.monotonic_s()
        result = None
        try:
            self._check_start(request, started_s, deadline_s)
            result = await self._dispatcher.run(request, started_s, deadline_s)
        except exceptions.CallError as error:
            result = local_replies.not_run(error)
        finally:
            answered = result and result.outcome == outcome.Outcome.ANSWER
            ended_s = self._clock.monotonic_s()
            self._queue.release(ended_s - started_s if answered else None)
        return result

    def _check_open(self) -> None:
        if self._leaving_since_s is not None:
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
        if self._leaving_since_s is None:
            return
        if now_s - self._leaving_since_s > LEAVE_GRACE_S:
            raise exceptions.LeavingError("target is leaving")
        leaving.check(
            node_id=self._node_id,
            call_id=request.call_id,
            announced_s=self._leaving_since_s,
            now_s=now_s,
        )
