"""Runs calls at a target and classifies their outcomes."""

import typing

import anyio

from galenatack import exceptions
from galenatack.interfaces import clock as clock_module
from galenatack.interfaces import target_link
from galenatack.model import call_request
from galenatack.model import call_result
from galenatack.model import outcome
from galenatack.model import target_answer
from galenatack.routing import local_replies
from galenatack.routing import running_call

_MS_PER_S = 1000
# A target confirms a cancellation at once or not at all, and the caller waits
# for the result.
CANCEL_TIMEOUT_S = 0.1
# Calls to a cold target are no evidence of its latency.
COLD_TIME_S = 10.0
COLD_CALLS = 20
_SERVER_ERROR = 500


class OnOutcome(typing.Protocol):
    """Receives the outcome of one call as rollout evidence."""

    def __call__(
        self, route: str, is_error: bool, latency_ms: float, is_warm: bool
    ) -> None:
        """Records one call that reached the target."""


class Dispatcher:
    """Runs and cancels calls at a target and classifies their outcomes.

    Args:
        link: Connection to the target.
        clock: Source of time.
        on_outcome: Receives the outcome of each call.
    """

    def __init__(
        self,
        *,
        link: target_link.TargetLink,
        clock: clock_module.Clock,
        on_outcome: OnOutcome,
    ):
        self._link = link
        self._clock = clock
        self._on_outcome = on_outcome
        self._running: dict[str, running_call.RunningCall] = {}
        self._first_call_s: float | None = None
        self._calls = 0

    async def cancel(self, call_id: str) -> bool:
        """Cancels a call at the target.

        A posting that has started continues, because its answer has to be
        recorded.

        Returns:
            True if the call has not started and never will.
        """
        running = self._running.get(call_id)
        if running is None:
            return False
        confirmed = await self._confirm_cancel(call_id)
        running.is_cancel_confirmed |= confirmed
        if confirmed or not running.is_posting:
            running.is_cancelled = True
            running.scope.cancel()
        return confirmed

    async def run(
        self,
        request: call_request.CallRequest,
        started_s: float,
        deadline_s: float,
    ) -> call_result.CallResult:
        """Runs a call at the target and returns its result.

        Args:
            request: The call.
            started_s: Monotonic time of the dispatch.
            deadline_s: Monotonic time by which the call must have ended.
        """
        remaining_s = deadline_s - started_s
        forwarded = request._replace(
            deadline_ms=max(1, int(remaining_s * _MS_PER_S))
        )
        is_warm = self._count_call(started_s)
        try:
            answer = await self._call(forwarded, remaining_s)
        except exceptions.TargetShedError as error:
            # Load shedding is not a fault of the target's version.
            return local_replies.not_run(error)
        except exceptions.CancelledCallError as error:
            # A cancelled call is no evidence against the target.
            return _cancelled_result(error)
        except exceptions.CallError as error:
            self._record(request, True, started_s, is_warm)
            return await self._resolve_failure(request, error)
        is_error = answer.status >= _SERVER_ERROR
        self._record(request, is_error, started_s, is_warm)
        return _answered_result(answer)

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
                    # The caller of a read disconnected.
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

    async def _resolve_failure(
        self,
        request: call_request.CallRequest,
        error: exceptions.CallError,
    ) -> call_result.CallResult:
        """Returns `not-run` only if the target certainly never runs the call.

        Otherwise the outcome is `unknown`.
        """
        if isinstance(error, exceptions.TargetConnectError):
            return local_replies.not_run(error)
        if await self._confirm_cancel(request.call_id):
            return local_replies.not_run(error)
        return local_replies.unknown(error)

    async def _confirm_cancel(self, call_id: str) -> bool:
        with anyio.move_on_after(CANCEL_TIMEOUT_S):
            return await self._link.cancel(call_id)
        return False

    def _count_call(self, now_s: float) -> bool:
        if self._first_call_s is None:
            self._first_call_s = now_s
        self._calls += 1
        is_past_warm_up = now_s - self._first_call_s >= COLD_TIME_S
        return is_past_warm_up and self._calls > COLD_CALLS

    def _record(
        self,
        request: call_request.CallRequest,
        is_error: bool,
        started_s: float,
        is_warm: bool,
    ) -> None:
        latency_ms = (self._clock.monotonic_s() - started_s) * _MS_PER_S
        self._on_outcome(request.route, is_error, latency_ms, is_warm)


def _cancelled_result(
    error: exceptions.CancelledCallError,
) -> call_result.CallResult:
    if error.is_confirmed:
        return local_replies.not_run(error)
    return local_replies.unknown(error)


def _answered_result(
    answer: target_answer.TargetAnswer,
) -> call_result.CallResult:
    return call_result.CallResult(
        outcome=outcome.Outcome.ANSWER.value,
        status=answer.status,
        headers=answer.headers,
        body=answer.body,
    )
