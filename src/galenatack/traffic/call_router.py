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
from galenatack.traffic import call_effort
from galenatack.traffic import call_notes
from galenatack.traffic import call_sender
from galenatack.traffic import config_holder
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
        notes: Log lines and counters.
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
        notes: call_notes.CallNotes,
    ):
        self._config = config
        self._directory = directory
        self._versions = versions
        self._placement = placement
        self._budget = budget
        self._sender = sender
        self._clock = clock
        self._notes = notes
        self._weights = weighted_choice.WeightedChoice()
        self.in_flight = 0

    async def handle(
        self, request: caller_request.CallerRequest
    ) -> call_result.CallResult:
        """Handles one request; never raises for a failure of the call."""
        started_s = self._clock.monotonic_s()
        effort = None
        self.in_flight += 1
        try:
            effort = self._begin(request, started_s)
            result = await self._try_targets(effort)
        except exceptions.CallError as error:
            result = _refused(error)
        finally:
            self.in_flight -= 1
        self._notes.ended(request, effort, result, started_s)
        return result

    def _begin(
        self, request: caller_request.CallerRequest, started_s: float
    ) -> call_effort.CallEffort:
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
        effort = call_effort.CallEffort(
            request=request,
            route=route,
            service=self._weights.pick(route),
            config_version=table.version,
            deadline_s=started_s + wait_ms / MS_PER_S,
        )
        self._budget.earn(effort.service)
        return effort

    async def _try_targets(
        self, effort: call_effort.CallEffort
    ) -> call_result.CallResult:
        while True:
            try:
                member = self._choose(effort)
            except exceptions.CallError as error:
                self._notes.not_placed(effort, error)
                return effort.final(_refused(error))
            result = await self._attempt(effort, member)
            effort.add(member.node_id, result)
            if not self._may_repeat(effort, result):
                return effort.final(result)

    def _choose(
        self, effort: call_effort.CallEffort
    ) -> member_record.MemberRecord:
        left_ms = (effort.deadline_s - self._clock.monotonic_s()) * MS_PER_S
        if left_ms <= 0:
            raise exceptions.DeadlineExceededError("deadline passed")
        if effort.arrivals and not self._budget.has_left(effort.service):
            raise exceptions.OverloadedError(
                "budget of repeats is used up",
                retry_after_ms=local_replies.DEFAULT_RETRY_AFTER_MS,
            )
        by_version = self._directory.by_version(effort.service)
        allowed = self._versions.choose(
            effort.service, by_version, is_repeat=bool(effort.tried)
        )
        members = [item for version in allowed for item in by_version[version]]
        member = self._placement.choose(
            members,
            route=effort.route,
            left_ms=left_ms,
            tried=effort.tried,
        )
        if effort.arrivals:
            self._budget.spend(effort.service)
        return member

    def _may_repeat(
        self, effort: call_effort.CallEffort, result: call_result.CallResult
    ) -> bool:
        if effort.arrivals >= effort.route.max_attempts:
            return False
        if result.outcome == outcome.Outcome.ANSWER:
            is_failure = result.status >= target_gate.SERVER_ERROR
            return is_failure and effort.route.is_idempotent
        if result.outcome == outcome.Outcome.NOT_RUN:
            return effort.refusals < MOST_REFUSALS
        return effort.route.is_idempotent

    async def _attempt(
        self,
        effort: call_effort.CallEffort,
        member: member_record.MemberRecord,
    ) -> call_result.CallResult:
        call = self._sender.make_call(effort, member)
        view = self._placement.view(member)
        self._notes.placed(effort, call, member)
        view.in_flight += 1
        try:
            answer = await self._sender.send(call, member, effort.deadline_s)
        finally:
            view.in_flight -= 1
        if isinstance(answer, call_result.CallResult):
            view.eject(self._clock.monotonic_s())
            return answer
        self._take_report(effort, member, answer)
        return answer.result

    def _take_report(
        self,
        effort: call_effort.CallEffort,
        member: member_record.MemberRecord,
        answer: call_answer.CallAnswer,
    ) -> None:
        view = self._placement.view(member)
        now_s = self._clock.monotonic_s()
        if answer.report is not None:
            view.take_report(answer.report, effort.route.name, now_s)
        if answer.result.failure == exceptions.OverloadedError.code:
            view.note_refusal(effort.route.name, now_s)
        if answer.result.failure == exceptions.TargetConnectError.code:
            view.eject(now_s)


def _refused(error: exceptions.CallError) -> call_result.CallResult:
    result = local_replies.not_run(error)
    if isinstance(error, exceptions.NoTargetError):
        return result._replace(retry_after_ms=NO_TARGET_RETRY_AFTER_MS)
    return result
