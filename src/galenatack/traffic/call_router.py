"""Routes the calls of callers and of the own target."""

import asyncio
import logging

from galenatack import exceptions
from galenatack.interfaces import clock as clock_interface
from galenatack.interfaces import peer_network
from galenatack.interfaces import random_source
from galenatack.messages import call as call_message
from galenatack.messages import call_answer
from galenatack.messages import cancel_call
from galenatack.model import call_request
from galenatack.model import call_result
from galenatack.model import caller_request
from galenatack.model import member_record
from galenatack.model import outcome
from galenatack.rollouts import version_chooser
from galenatack.routing import results
from galenatack.traffic import attempt_budget
from galenatack.traffic import call_effort
from galenatack.traffic import call_stats
from galenatack.traffic import config_holder
from galenatack.traffic import request_log
from galenatack.traffic import target_directory
from galenatack.traffic import target_gate
from galenatack.traffic import target_placement
from galenatack.traffic import weighted_choice

_LOGGER = logging.getLogger(__name__)

MS_PER_S = 1000.0
CALL_ID_BITS = 40
BODY_TOO_LARGE = 413

NO_CONFIG_RETRY_AFTER_MS = 300
"""A starting node has its configuration within about a second."""

NO_TARGET_RETRY_AFTER_MS = 400
"""A target that starts announces itself within about this time."""

WAY_BACK_MS = {True: 8.0, False: 75.0}
"""Time kept for the way back of the answer, by whether the target is in the
own region: the delay of the link and the handling at both ends."""

LARGEST_WAY_SHARE = 0.2
"""Largest part of the remaining time that is kept for the way back."""

MOST_REFUSALS = 3
"""Gates that may refuse a call before the caller is told to come back; each
one costs a way there and back."""

CANCEL_SEND_S = 0.3
"""Longest time to send a cancel; the gate drops the call at its deadline."""


class CallRouter:
    """Finds the route, sends the call to targets and answers.

    Args:
        own: Record of this node, for its data centre and region.
        config: The configuration in force.
        directory: Targets by service and version.
        versions: Chooses the version.
        placement: Chooses the target.
        budget: Budget of repeats.
        peers: Links to other nodes.
        gate: Gate of the own target.
        clock: Source of time.
        rng: Source of randomness, for call ids.
        log: Decisions about single requests.
        stats: Counters and histograms.
    """

    def __init__(
        self,
        *,
        own: member_record.MemberRecord,
        config: config_holder.ConfigHolder,
        directory: target_directory.TargetDirectory,
        versions: version_chooser.VersionChooser,
        placement: target_placement.TargetPlacement,
        budget: attempt_budget.AttemptBudget,
        peers: peer_network.PeerNetwork,
        gate: target_gate.TargetGate,
        clock: clock_interface.Clock,
        rng: random_source.RandomSource,
        log: request_log.RequestLog,
        stats: call_stats.CallStats,
    ):
        self._own = own
        self._config = config
        self._directory = directory
        self._versions = versions
        self._placement = placement
        self._budget = budget
        self._peers = peers
        self._gate = gate
        self._clock = clock
        self._log = log
        self._stats = stats
        self._weights = weighted_choice.WeightedChoice()
        self._call_prefix = f"{rng.getrandbits(CALL_ID_BITS):010x}"
        self._calls = 0
        self._tasks: set[asyncio.Task] = set()
        self.in_flight = 0

    async def handle(
        self, request: caller_request.CallerRequest
    ) -> call_result.CallResult:
        """Handles one request; never raises for a failure of the call."""
        started_s = self._clock.monotonic_s()
        self.in_flight += 1
        try:
            result = await self._route(request, started_s)
        finally:
            self.in_flight -= 1
        self._note_end(request, result, started_s)
        return result

    async def _route(
        self, request: caller_request.CallerRequest, started_s: float
    ) -> call_result.CallResult:
        table = self._config.table
        if table is None:
            error = exceptions.NoTargetError("no configuration yet")
            return results.not_run(error)._replace(
                retry_after_ms=NO_CONFIG_RETRY_AFTER_MS
            )
        if len(request.body) > table.limits.max_body_bytes:
            return results.not_run(
                exceptions.BadCallError("body too large", status=BODY_TOO_LARGE)
            )
        route = table.find(request.host, request.path)
        if route is None:
            return results.not_run(exceptions.NoRouteError("no route matches"))
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
        return await self._try_targets(effort)

    async def _try_targets(
        self, effort: call_effort.CallEffort
    ) -> call_result.CallResult:
        while True:
            try:
                member = self._choose(effort)
            except exceptions.CallError as error:
                self._note_not_placed(effort, error)
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
                retry_after_ms=results.DEFAULT_RETRY_AFTER_MS,
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
        call = self._call(effort, member)
        view = self._placement.view(member)
        self._note_placed(effort, call, member)
        view.in_flight += 1
        try:
            if member.node_id == self._own.node_id:
                answer = await self._local(call)
            else:
                answer = await self._remote(effort, member, call)
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

    def _call(
        self,
        effort: call_effort.CallEffort,
        member: member_record.MemberRecord,
    ) -> call_request.CallRequest:
        self._calls += 1
        left_ms = (effort.deadline_s - self._clock.monotonic_s()) * MS_PER_S
        if member.node_id != self._own.node_id:
            way_ms = WAY_BACK_MS[member.region == self._own.region]
            left_ms -= min(way_ms, left_ms * LARGEST_WAY_SHARE)
        request, route = effort.request, effort.route
        return call_request.CallRequest(
            call_id=f"{self._call_prefix}-{self._calls}",
            service=effort.service,
            route=route.name,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            deadline_ms=max(1, int(left_ms)),
            posting=not route.is_idempotent,
            request_id=request.request_id,
            priority=route.priority,
            target_latency_ms=route.target_latency_ms,
            caller_service=self._own.service,
            target_id=member.target_id,
            is_repeat=effort.arrivals > 0,
        )

    async def _local(
        self, call: call_request.CallRequest
    ) -> call_answer.CallAnswer:
        # A task of its own: a call that runs at most once goes on when its
        # caller has left.
        task = asyncio.create_task(self._gate.handle(call))
        self._keep(task)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            self._gate.cancel(call.call_id)
            raise

    async def _remote(
        self,
        effort: call_effort.CallEffort,
        member: member_record.MemberRecord,
        call: call_request.CallRequest,
    ) -> call_answer.CallAnswer | call_result.CallResult:
        left_s = effort.deadline_s - self._clock.monotonic_s()
        try:
            reply = await self._peers.request(
                member.node_id, call_message.Call(call, 0), timeout_s=left_s
            )
        except (
            exceptions.PeerUnreachableError,
            exceptions.PeerBusyError,
        ) as error:
            return results.not_run(error)
        except exceptions.PeerError as error:
            return results.unknown(error)
        except asyncio.CancelledError:
            self._keep(
                asyncio.create_task(self._cancel(member.node_id, call.call_id))
            )
            raise
        if not isinstance(reply, call_answer.CallAnswer) or (
            reply.call_id != call.call_id
        ):
            return results.unknown(
                exceptions.ProtocolError("reply is not the answer of the call")
            )
        return reply

    async def _cancel(self, node_id: str, call_id: str) -> None:
        try:
            async with asyncio.timeout(CANCEL_SEND_S):
                await self._peers.send(node_id, cancel_call.CancelCall(call_id))
        except (exceptions.PeerError, TimeoutError) as error:
            # The gate drops the call at its deadline.
            _LOGGER.debug(
                "event=cancel-not-sent peer=%s error=%r", node_id, error
            )

    def _keep(self, task: asyncio.Task) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _note_placed(
        self,
        effort: call_effort.CallEffort,
        call: call_request.CallRequest,
        member: member_record.MemberRecord,
    ) -> None:
        if not self._log.is_sampled(call.request_id):
            return
        view = self._placement.view(member)
        self._log.note(
            call.request_id,
            "placed",
            call=call.call_id,
            route=call.route,
            config=effort.config_version,
            to=member.node_id,
            target=member.target_id,
            version=member.version,
            expected_calls=view.calls(self._clock.monotonic_s()),
            slots=member.slots,
            left_ms=call.deadline_ms,
            attempt=effort.arrivals + 1,
            budget_left=self._budget.left(effort.service),
        )

    def _note_not_placed(
        self, effort: call_effort.CallEffort, error: exceptions.CallError
    ) -> None:
        now_s = self._clock.monotonic_s()
        self._log.failure(
            effort.request.request_id,
            "not-placed",
            failure=error.code,
            detail=str(error),
            service=effort.service,
            route=effort.route.name,
            tried=",".join(sorted(effort.tried)) or "-",
            left_ms=(effort.deadline_s - now_s) * MS_PER_S,
            config=effort.config_version,
            budget_left=self._budget.left(effort.service),
        )

    def _note_end(
        self,
        request: caller_request.CallerRequest,
        result: call_result.CallResult,
        started_s: float,
    ) -> None:
        took_ms = (self._clock.monotonic_s() - started_s) * MS_PER_S
        self._stats.count(
            "router",
            outcome=result.outcome,
            reason=target_gate.reason_of(result),
        )
        self._stats.record_ms("total", took_ms)
        has_failed = result.status >= target_gate.SERVER_ERROR
        write = self._log.failure if has_failed else self._log.note
        write(
            request.request_id,
            "answered",
            outcome=result.outcome,
            status=result.status,
            failure=result.failure or "-",
            retry_after_ms=result.retry_after_ms,
            took_ms=took_ms,
            config=self._config.version,
        )


def _refused(error: exceptions.CallError) -> call_result.CallResult:
    result = results.not_run(error)
    if isinstance(error, exceptions.NoTargetError):
        return result._replace(retry_after_ms=NO_TARGET_RETRY_AFTER_MS)
    return result
