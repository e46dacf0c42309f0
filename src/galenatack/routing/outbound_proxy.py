"""Routes the calls of callers and of the local target."""

import anyio

from galenatack import exceptions
from galenatack.interfaces import clock as clock_module
from galenatack.interfaces import peer_network
from galenatack.interfaces import random_source
from galenatack.invariants import answer_match
from galenatack.messages import call as call_message
from galenatack.messages import call_answer
from galenatack.messages import cancel_call
from galenatack.model import call_request
from galenatack.model import call_result
from galenatack.model import outcome
from galenatack.routing import balancer as balancer_module
from galenatack.routing import byte_budget
from galenatack.routing import call_plan
from galenatack.routing import call_planner
from galenatack.routing import inbound_gate
from galenatack.routing import local_replies
from galenatack.routing import retry_budget
from galenatack.routing import target_chooser
from galenatack.routing import target_member

_MS_PER_S = 1000
_CALL_ID_BITS = 48
# Part of the remaining time that is reserved for returning the answer: the
# gate's result of a late call has to arrive before this node times out.
_RETURN_MARGIN_MS = {
    target_member.OWN_DATA_CENTRE: 20,
    target_member.OWN_REGION: 20,
    target_member.OTHER_REGION: 80,
}
_MARGIN_CAP_DIVISOR = 4
_CANCEL_SEND_TIMEOUT_S = 0.5

_OVERLOAD = frozenset(
    (exceptions.OverloadedError.code, exceptions.TargetShedError.code)
)
_UNREACHABLE = frozenset(
    (
        exceptions.PeerUnreachableError.code,
        exceptions.PeerTimeoutError.code,
        exceptions.TargetConnectError.code,
        exceptions.LeavingError.code,
    )
)
# Not retried: the deadline has passed, the caller has disconnected, or the
# ticket's node is gone.
_NOT_RETRIED = frozenset(
    (
        exceptions.DeadlineExceededError.code,
        exceptions.CancelledCallError.code,
        exceptions.TicketGoneError.code,
    )
)


class OutboundProxy:
    """Implements `interfaces.caller_handler.CallerHandler`.

    Args:
        node_id: Own node.
        planner: Parses and routes calls.
        chooser: Chooses targets.
        balancer: Holds the load of each target.
        region_budget: Byte budget of the region link.
        retries: Retry budget.
        peers: Links to other nodes.
        gate: Gate of the local target.
        clock: Source of time.
        rng: Source of randomness, for call ids.
    """

    def __init__(
        self,
        *,
        node_id: str,
        planner: call_planner.CallPlanner,
        chooser: target_chooser.TargetChooser,
        balancer: balancer_module.Balancer,
        region_budget: byte_budget.ByteBudget,
        retries: retry_budget.RetryBudget,
        peers: peer_network.PeerNetwork,
        gate: inbound_gate.InboundGate,
        clock: clock_module.Clock,
        rng: random_source.RandomSource,
    ):
        self._node_id = node_id
        self._planner = planner
        self._chooser = chooser
        self._balancer = balancer
        self._region_budget = region_budget
        self._retries = retries
        self._peers = peers
        self._gate = gate
        self._clock = clock
        self._call_prefix = f"{rng.getrandbits(_CALL_ID_BITS):012x}"
        self._calls = 0

    async def handle(
        self,
        *,
        method: str,
        path: str,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
    ) -> call_result.CallResult:
        """Handles a call; a failed call is a result, not an exception."""
        try:
            plan = self._planner.plan(
                method=method, path=path, headers=headers, body=body
            )
        except exceptions.CallError as error:
            return local_replies.not_run(error)
        self._retries.record_first_attempt(
            plan.table.service, plan.policy.budget_permille
        )
        return await self._try_targets(plan)

    async def _try_targets(
        self, plan: call_plan.CallPlan
    ) -> call_result.CallResult:
        tried: set[str] = set()
        result: call_result.CallResult | None = None
        while True:
            try:
                member = self._choose(plan, tried)
            except exceptions.TicketGoneError as error:
                return local_replies.unknown(error)
            except exceptions.CallError as error:
                return result or local_replies.not_run(error)
            result = await self._attempt(plan, member)
            tried.add(member.node_id)
            if not self._may_retry(plan, result, len(tried)):
                return result

    def _choose(
        self, plan: call_plan.CallPlan, tried: set[str]
    ) -> target_member.TargetMember:
        if self._clock.monotonic_s() >= plan.deadline_s:
            raise exceptions.DeadlineExceededError("deadline passed")
        member = self._chooser.choose(plan, tried)
        if tried and not self._retries.try_spend(plan.table.service):
            raise exceptions.OverloadedError(
                "retry budget is used up",
                retry_after_ms=local_replies.DEFAULT_RETRY_AFTER_MS,
            )
        return member

    def _may_retry(
        self,
        plan: call_plan.CallPlan,
        result: call_result.CallResult,
        attempts: int,
    ) -> bool:
        if result.outcome == outcome.Outcome.ANSWER:
            return False
        if plan.ticket or result.failure in _NOT_RETRIED:
            return False
        if attempts >= plan.policy.max_attempts:
            return False
        did_not_run = result.outcome == outcome.Outcome.NOT_RUN
        return did_not_run or not plan.request.posting

    async def _attempt(
        self, plan: call_plan.CallPlan, member: target_member.TargetMember
    ) -> call_result.CallResult:
        remaining_s = plan.deadline_s - self._clock.monotonic_s()
        call = self._call(plan, member, remaining_s)
        load = self._balancer.load(member)
        load.in_flight += 1
        try:
            if member.node_id == self._node_id:
                result = await self._gate.handle(call)
            else:
                result = await self._send_remote(member, call, remaining_s)
        finally:
            load.in_flight -= 1
        self._observe(plan, member, result)
        return result

    def _call(
        self,
        plan: call_plan.CallPlan,
        member: target_member.TargetMember,
        remaining_s: float,
    ) -> call_message.Call:
        self._calls += 1
        remaining_ms = max(1, int(remaining_s * _MS_PER_S))
        if member.node_id != self._node_id:
            remaining_ms -= min(
                _RETURN_MARGIN_MS[member.tier],
                remaining_ms // _MARGIN_CAP_DIVISOR,
            )
        request = plan.request._replace(
            call_id=f"{self._call_prefix}-{self._calls}",
            deadline_ms=remaining_ms,
        )
        incarnation = plan.ticket.incarnation if plan.ticket else 0
        return call_message.Call(request, incarnation)

    async def _send_remote(
        self,
        member: target_member.TargetMember,
        call: call_message.Call,
        timeout_s: float,
    ) -> call_result.CallResult:
        try:
            reply = await self._peers.request(
                member.node_id, call, timeout_s=timeout_s
            )
        except (
            exceptions.PeerUnreachableError,
            exceptions.PeerBusyError,
        ) as error:
            return local_replies.not_run(error)
        except exceptions.PeerError as error:
            return local_replies.unknown(error)
        except anyio.get_cancelled_exc_class():
            await self._cancel(member.node_id, call.request)
            raise
        return self._check_reply(member, call.request, reply)

    def _check_reply(
        self,
        member: target_member.TargetMember,
        request: call_request.CallRequest,
        reply: object,
    ) -> call_result.CallResult:
        if not isinstance(reply, call_answer.CallAnswer):
            return local_replies.unknown(
                exceptions.ProtocolError("reply is not a CallAnswer")
            )
        if answer_match.check(
            call_id=request.call_id,
            answer_call_id=reply.call_id,
            node_id=member.node_id,
        ):
            return reply.result
        return local_replies.unknown(
            exceptions.ProtocolError("answer belongs to another call")
        )

    async def _cancel(
        self, node_id: str, request: call_request.CallRequest
    ) -> None:
        with anyio.move_on_after(_CANCEL_SEND_TIMEOUT_S, shield=True):
            try:
                await self._peers.send(
                    node_id, cancel_call.CancelCall(request.call_id)
                )
            except exceptions.PeerError:
                # The gate drops the call at its deadline.
                return

    def _observe(
        self,
        plan: call_plan.CallPlan,
        member: target_member.TargetMember,
        result: call_result.CallResult,
    ) -> None:
        load = self._balancer.load(member)
        now_s = self._clock.monotonic_s()
        if result.outcome == outcome.Outcome.ANSWER:
            load.on_success()
        elif result.failure in _OVERLOAD:
            load.on_overload(now_s)
        elif result.failure in _UNREACHABLE:
            load.on_connect_failure(now_s)
        if member.tier == target_member.OTHER_REGION:
            self._region_budget.charge(
                plan.table.service,
                plan.table.limits.cross_region_bytes_per_s,
                len(plan.request.body) + len(result.body),
            )
