"""Simulated nodes of the overload benchmark, whose callers come back."""

import asyncio
import random

from bench import call_class
from bench import call_trait
from bench import overload_tally
from bench import overload_target
from galenatack import exceptions
from galenatack.estimates import call_estimates
from galenatack.estimates import request_cost
from galenatack.model import call_request
from galenatack.model import call_result
from galenatack.model import caller_request
from galenatack.model import host_route
from galenatack.model import member_record
from galenatack.placement import known_conditions
from galenatack.placement import target_placement
from galenatack.routing import local_replies
from galenatack.traffic import returned_requests
from tests.fakes import virtual_loop
from tests.placement import fleet_load

MS_PER_S = 1000.0
MAX_SENDS = 3
MAX_RETURNS = 2
SERVICE = "s"


class Node:
    """A node whose callers come back after a refusal.

    Args:
        data_centre: Its data centre.
        region: Its region.
        targets: Targets by node id.
        rng: Source of randomness.
        tally: Counts the ends of the requests.
        number: Number of the node, which makes the ids of its calls unique.
        uses_estimates: Whether it estimates costs.
    """

    def __init__(
        self,
        data_centre: str,
        region: str,
        targets: dict[str, overload_target.Target],
        rng: random.Random,
        tally: overload_tally.Tally,
        *,
        number: int,
        uses_estimates: bool,
    ):
        self._own = fleet_load.member(
            f"caller-{data_centre}-{number}",
            data_centre=data_centre,
            region=region,
        )
        self._targets = targets
        self._tally = tally
        self._calls = 0
        self._returned = returned_requests.ReturnedRequests(
            clock=virtual_loop.LoopClock()
        )
        self._estimates = call_estimates.CallEstimates(
            is_enabled=uses_estimates
        )
        self._placement = target_placement.TargetPlacement(
            own=self._own,
            clock=virtual_loop.LoopClock(),
            rng=rng,
            is_connected=lambda node_id: True,
            conditions=known_conditions.KnownConditions(),
            predictor=self._estimates,
        )

    async def call(
        self,
        kind: call_class.CallClass,
        trait: call_trait.CallTrait,
        *,
        is_counted: bool,
    ) -> None:
        """Sends a request, which comes back after a refusal some times."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        end = "refused"
        for _ in range(1 + MAX_RETURNS):
            left_ms = kind.timeout_ms - (loop.time() - began_s) * MS_PER_S
            if left_ms <= 0:
                break
            result = await self.try_once(kind, trait, left_ms)
            took_ms = (loop.time() - began_s) * MS_PER_S
            if result.outcome == "answer":
                end = "in-time" if took_ms <= kind.objective_ms else "late"
                end = end if result.status == 200 else "failed"
                break
            self._tally.tries_refused += is_counted
            await asyncio.sleep(result.retry_after_ms / MS_PER_S)
        if is_counted:
            self._tally.ended[kind.name, end] += 1
            self._tally.served[trait.tenant] += end == "in-time"
            if end in {"in-time", "late"}:
                self._tally.latencies_ms[kind.name].append(took_ms)

    async def try_once(
        self,
        kind: call_class.CallClass,
        trait: call_trait.CallTrait,
        left_ms: float,
    ) -> call_result.CallResult:
        """Handles a request as a node does, which knows its deadline only."""
        now_s = asyncio.get_running_loop().time()
        request = caller_request.CallerRequest(
            "", "GET", "h", kind.path, (), trait.body, int(left_ms)
        )
        first_s = self._returned.arrived_s(request, now_s)
        result = await self._attempt(request, kind, trait, first_s)
        if result.outcome == "not-run":
            self._returned.note_refused(request, first_s=first_s, now_s=now_s)
        return result

    async def _attempt(
        self,
        request: caller_request.CallerRequest,
        kind: call_class.CallClass,
        trait: call_trait.CallTrait,
        first_s: float,
    ) -> call_result.CallResult:
        """Offers a call to gates until one runs it or too many refuse it."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + request.deadline_ms / MS_PER_S
        route = _route(kind)
        cost = self._estimates.cost(request, route, SERVICE, trait.tenant)
        tried: set[str] = set()
        declined: set[str] = set()
        refusal: call_result.CallResult | None = None
        while len(tried) < MAX_SENDS:
            left_ms = (deadline_s - loop.time()) * MS_PER_S
            try:
                offer = self._placement.offer(
                    [target.record for target in self._targets.values()],
                    route=route,
                    left_ms=left_ms,
                    tried=tried,
                    asked=declined,
                    tenant=trait.tenant,
                    cost=cost,
                )
            except exceptions.OverloadedError as error:
                return refusal or local_replies.not_run(error)
            call = self._make_call(request, route, cost)._replace(
                deadline_ms=max(1, int(left_ms)),
                tenant=trait.tenant,
                waited_ms=(loop.time() - first_s) * MS_PER_S,
                max_wait_ms=offer.max_wait_ms,
            )
            result = await self._send(offer.member, call, trait, cost)
            if result.outcome == "answer":
                return result
            if result.failure == exceptions.OfferDeclinedError.code:
                declined.add(offer.member.node_id)
                continue
            refusal = result
            tried.add(offer.member.node_id)
            declined.clear()
        return refusal

    def _make_call(
        self,
        request: caller_request.CallerRequest,
        route: host_route.HostRoute,
        cost: request_cost.RequestCost | None,
    ) -> call_request.CallRequest:
        self._calls += 1
        return call_request.CallRequest(
            f"{self._own.node_id}-{self._calls}",
            SERVICE,
            route.name,
            request.method,
            request.path,
            (),
            request.body,
            request.deadline_ms,
            posting=False,
            priority=route.priority,
            target_latency_ms=route.target_latency_ms,
            cost_ms=cost.work_ms if cost else 0.0,
        )

    async def _send(
        self,
        chosen: member_record.MemberRecord,
        call: call_request.CallRequest,
        trait: call_trait.CallTrait,
        cost: request_cost.RequestCost | None,
    ) -> call_result.CallResult:
        loop = asyncio.get_running_loop()
        distance = self._distance(chosen)
        self._tally.crossed += distance == "other"
        view = self._placement.view(chosen)
        view.in_flight += 1
        sent_s = loop.time()
        self._estimates.record_sent(cost, view, sent_s)
        await asyncio.sleep(fleet_load.ONE_WAY_S[distance])
        answer = await self._targets[chosen.node_id].handle(call, trait)
        await asyncio.sleep(fleet_load.ONE_WAY_S[distance])
        view.in_flight -= 1
        self._estimates.record_ended(cost, view)
        now_s = loop.time()
        view.apply_report(
            answer.report,
            call.route,
            now_s,
            priority=call.priority,
            tenant=call.tenant,
        )
        self._estimates.record_report(
            cost,
            view,
            answer.report,
            took_ms=(now_s - sent_s) * MS_PER_S
            - self._placement.round_trip_ms(chosen),
            now_s=now_s,
        )
        if answer.result.failure == exceptions.OverloadedError.code:
            view.record_refusal(call.route, now_s, tenant=call.tenant)
        return answer.result

    def _distance(self, chosen: member_record.MemberRecord) -> str:
        if chosen.data_centre == self._own.data_centre:
            return "dc"
        return "region" if chosen.region == self._own.region else "other"


def _route(kind: call_class.CallClass) -> host_route.HostRoute:
    return fleet_load.route(
        target_latency_ms=kind.objective_ms,
        timeout_ms=kind.timeout_ms,
        priority=kind.priority,
        name=kind.route_name,
    )
