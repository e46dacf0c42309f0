"""Routes the calls of callers and of the own target."""

from galenatack import exceptions
from galenatack.interfaces import clock as clock_interface
from galenatack.messages import call_answer
from galenatack.model import call_result
from galenatack.model import caller_request
from galenatack.model import member_record
from galenatack.model import outcome
from galenatack.rollouts import version_chooser
from galenatack.routing import local_replies
from galenatack.traffic import attempt_budget
from galenatack.traffic import call_sender
from galenatack.traffic import call_telemetry
from galenatack.traffic import config_holder
from galenatack.traffic import request_attempts
from galenatack.traffic import target_directory
from galenatack.traffic import target_gate
from galenatack.traffic import target_placement
from galenatack.traffic import weighted_choice

MS_PER_S = 1000.0
BODY_TOO_LARGE = 413

NO_TARGET_RETRY_AFTER_MS = 400
"""A target that starts announces itself, and a node that starts has its
configuration, within about this time."""

MOST_REFUSALS = 3
"""Gates that may refuse a call before the caller is told to come back; each
one costs a way there and back."""


class CallRouter:
    """Finds the route, sends the call to targets and answers.

    Args:
        config: The configuration in force.
        directory: Targets by service and version.
        versions: Chooses the version.
        placement: Chooses the target.
        budget: Budget of repeats.
        sender: Sends calls to gates.
        clock: Source of time.
        telemetry: Log lines and counters.
    """

    def __init__(
        self,
        *,
        config: config_holder.ConfigHolder,
        directory: target_directory.TargetDirectory,
        versions: version_chooser.VersionChooser,
        placement: target_placement.TargetPlacement,
        budget: attempt_budget.AttemptBudget,
        sender: call_sender.CallSender,
        clock: clock_interface.Clock,
        telemetry: call_telemetry.CallTelemetry,
    ):
        self._config = config
        self._directory = directory
        self._versions = versions
        self._placement = placement
        self._budget = budget
        self._sender = sender
        self._clock = clock
        self._telemetry = telemetry
        self._weights = weighted_choice.WeightedChoice()
        self.in_flight = 0

    async def handle(
        self, request: caller_request.CallerRequest
    ) -> call_result.CallResult:
        """Handles one request; never raises for a failure of the call."""
        started_s = self._clock.monotonic_s()
        attempts = None
        self.in_flight += 1
        try:
            attempts = self._begin(request, started_s)
            result = await self._try_targets(attempts)
        except exceptions.CallError as error:
            result = _refused(error)
        finally:
            self.in_flight -= 1
        self._telemetry.record_answered(request, attempts, result, started_s)
        return result

    def _begin(
        self, request: caller_request.CallerRequest, started_s: float
    ) -> request_attempts.RequestAttempts:
        table = self._config.table
        if table is None:
            raise exceptions.NoTargetError("no configuration yet")
        if len(request.body) > table.limits.max_body_bytes:
            raise exceptions.BadCallError(
                "body too large", status=BODY_TOO_LARGE
            )
        route = table.find(request.host, request.path)
        if route is None:
            raise exceptions.NoRouteError("no route matches")
        wait_ms = route.timeout_ms
        if request.deadline_ms:
            wait_ms = min(wait_ms, request.deadline_ms)
        attempts = request_attempts.RequestAttempts(
            request=request,
            route=route,
            service=self._weights.pick(route),
            config_version=table.version,
            deadline_s=started_s + wait_ms / MS_PER_S,
        )
        self._budget.record_first_attempt(attempts.service)
        return attempts

    async def _try_targets(
        self, attempts: request_attempts.RequestAttempts
    ) -> call_result.CallResult:
        while True:
            try:
                member = self._choose(attempts)
            except exceptions.CallError as error:
                self._telemetry.record_not_placed(attempts, error)
                return attempts.final(_refused(error))
            result = await self._attempt(attempts, member)
            attempts.add(member.node_id, result)
            if not self._may_repeat(attempts, result):
                return attempts.final(result)

    def _choose(
        self, attempts: request_attempts.RequestAttempts
    ) -> member_record.MemberRecord:
        left_ms = (attempts.deadline_s - self._clock.monotonic_s()) * MS_PER_S
        if left_ms <= 0:
            raise exceptions.DeadlineExceededError("deadline passed")
        if attempts.arrivals and not self._budget.has_remaining(
            attempts.service
        ):
            raise exceptions.OverloadedError(
                "budget of repeats is used up",
                retry_after_ms=local_replies.DEFAULT_RETRY_AFTER_MS,
            )
        by_version = self._directory.by_version(attempts.service)
        allowed = self._versions.choose(
            attempts.service, by_version, is_repeat=bool(attempts.tried)
        )
        members = [item for version in allowed for item in by_version[version]]
        member = self._placement.choose(
            members,
            route=attempts.route,
            left_ms=left_ms,
            tried=attempts.tried,
        )
        if attempts.arrivals:
            self._budget.try_spend(attempts.service)
        return member

    def _may_repeat(
        self,
        attempts: request_attempts.RequestAttempts,
        result: call_result.CallResult,
    ) -> bool:
        if attempts.arrivals >= attempts.route.max_attempts:
            return False
        if result.outcome == outcome.Outcome.ANSWER:
            is_failure = result.status >= target_gate.SERVER_ERROR
            return is_failure and attempts.route.is_idempotent
        if result.outcome == outcome.Outcome.NOT_RUN:
            return attempts.refusals < MOST_REFUSALS
        return attempts.route.is_idempotent

    async def _attempt(
        self,
        attempts: request_attempts.RequestAttempts,
        member: member_record.MemberRecord,
    ) -> call_result.CallResult:
        call = self._sender.make_call(attempts, member)
        view = self._placement.view(member)
        self._telemetry.record_placed(attempts, call, member)
        view.in_flight += 1
        try:
            answer = await self._sender.send(call, member, attempts.deadline_s)
        finally:
            view.in_flight -= 1
        if isinstance(answer, call_result.CallResult):
            view.eject(self._clock.monotonic_s())
            return answer
        self._take_report(attempts, member, answer)
        return answer.result

    def _take_report(
        self,
        attempts: request_attempts.RequestAttempts,
        member: member_record.MemberRecord,
        answer: call_answer.CallAnswer,
    ) -> None:
        view = self._placement.view(member)
        now_s = self._clock.monotonic_s()
        if answer.report is not None:
            view.apply_report(answer.report, attempts.route.name, now_s)
        if answer.result.failure == exceptions.OverloadedError.code:
            view.note_refusal(attempts.route.name, now_s)
        if answer.result.failure == exceptions.TargetConnectError.code:
            view.eject(now_s)


def _refused(error: exceptions.CallError) -> call_result.CallResult:
    result = local_replies.not_run(error)
    if isinstance(error, exceptions.NoTargetError):
        return result._replace(retry_after_ms=NO_TARGET_RETRY_AFTER_MS)
    return result
