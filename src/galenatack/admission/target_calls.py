"""Calls at the local target and how they end."""

import anyio

from galenatack import exceptions
from galenatack.admission import target_registry
from galenatack.interfaces import clock as clock_interface
from galenatack.interfaces import target_link
from galenatack.model import call_request
from galenatack.model import call_result
from galenatack.model import outcome
from galenatack.model import target_answer
from galenatack.model import target_state
from galenatack.quarantine import crash_detector
from galenatack.quarantine import quarantine as quarantine_module
from galenatack.quarantine import request_fingerprint
from galenatack.routing import local_replies
from galenatack.routing import running_call

ANSWER_GRACE_S = 0.1
"""Extra time that a call waits for the target, which answers by the deadline.
The answer is then still delivered and the connection stays usable."""

CONNECT_FAILURE_THRESHOLD = 3
"""Consecutive failed connections after which the target is considered down."""

PROBE_INTERVAL_S = 0.4
"""While the target is down, one call in each interval is sent as a probe."""


class TargetCalls:
    """Sends admitted calls to the local target and judges how they end.

    Args:
        registry: Latest announcement of the target.
        link: Connection to the target.
        clock: Source of time.
        quarantine: Decides on requests under which targets crash.
        crashes: Finds out whether the target crashed.
    """

    def __init__(
        self,
        *,
        registry: target_registry.TargetRegistry,
        link: target_link.TargetLink,
        clock: clock_interface.Clock,
        quarantine: quarantine_module.Quarantine,
        crashes: crash_detector.CrashDetector,
    ):
        self._registry = registry
        self._link = link
        self._clock = clock
        self._quarantine = quarantine
        self._crashes = crashes
        self._running: dict[str, running_call.RunningCall] = {}
        self._connect_failures = 0
        self._last_probe_s = 0.0
        self._probe_id = ""

    def reset(self) -> None:
        """Forgets failed connections after the target has changed."""
        self._connect_failures = 0

    def check_connected(self, call_id: str) -> None:
        """Lets a call pass if the target takes connections, or as a probe.

        A probe passes again when it is checked once more before its start.

        Args:
            call_id: The call.

        Raises:
            exceptions.TargetConnectError: The target is down.
        """
        if self._connect_failures < CONNECT_FAILURE_THRESHOLD:
            return
        if call_id == self._probe_id:
            return
        now_s = self._clock.monotonic_s()
        if now_s - self._last_probe_s < PROBE_INTERVAL_S:
            raise exceptions.TargetConnectError("the target is down")
        self._last_probe_s = now_s
        self._probe_id = call_id

    def cancel(self, call_id: str) -> None:
        """Ends the wait for an answer, unless the call runs at most once."""
        running = self._running.get(call_id)
        if running is not None and not running.is_posting:
            running.is_cancelled = True
            running.scope.cancel()

    async def run(
        self, request: call_request.CallRequest, deadline_s: float
    ) -> call_result.CallResult:
        """Runs a call; a failed call is a result, not an exception.

        Args:
            request: The call.
            deadline_s: Monotonic time by which the target is to answer.
        """
        left_s = deadline_s - self._clock.monotonic_s() + ANSWER_GRACE_S
        with anyio.move_on_after(left_s) as scope:
            running = running_call.RunningCall(scope, request.posting)
            self._running[request.call_id] = running
            try:
                answer = await self._link.call(request)
                self._crashes.note_alive()
                await self._quarantine.clear(request)
                return self._to_result(answer)
            except exceptions.TargetConnectError as error:
                self._connect_failures += 1
                return local_replies.not_run(error)
            except exceptions.TargetShedError as error:
                return local_replies.not_run(error)._replace(
                    has_reached_target=True
                )
            except exceptions.TargetAnswerLostError as error:
                return await self._lost_answer(request, error)
            except exceptions.CallError as error:
                return local_replies.unknown(error)._replace(
                    has_reached_target=True
                )
            finally:
                del self._running[request.call_id]
        if running.is_cancelled:
            error = exceptions.CancelledCallError(
                "the caller went away", is_confirmed=False
            )
        else:
            error = exceptions.DeadlineExceededError("no answer in time")
        return local_replies.unknown(error)._replace(has_reached_target=True)

    async def _lost_answer(
        self,
        request: call_request.CallRequest,
        error: exceptions.TargetAnswerLostError,
    ) -> call_result.CallResult:
        # A target that leaves ends its last calls on purpose.
        is_ready = self._registry.state == target_state.TargetState.READY
        if is_ready and await self._crashes.has_crashed(
            request_fingerprint.of(request),
            was_suspect=self._quarantine.runs_as_suspect(request.call_id),
        ):
            error = exceptions.TargetCrashedError(f"target crashed: {error}")
        return local_replies.unknown(error)._replace(has_reached_target=True)

    def _to_result(
        self, answer: target_answer.TargetAnswer
    ) -> call_result.CallResult:
        self._connect_failures = 0
        return call_result.CallResult(
            outcome=outcome.Outcome.ANSWER.value,
            status=answer.status,
            headers=answer.headers,
            body=answer.body,
            has_reached_target=True,
        )
