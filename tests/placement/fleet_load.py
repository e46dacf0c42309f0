"""Simulates load on gates and placement in virtual time without a network."""

import asyncio
import collections
import copy
import random

from galenatack import exceptions
from galenatack.admission import admission_queue
from galenatack.admission import service_times
from galenatack.messages import call_answer
from galenatack.model import call_result
from galenatack.model import gate_report
from galenatack.model import host_route
from galenatack.model import member_record
from galenatack.model import weighted_service
from galenatack.placement import known_conditions
from galenatack.placement import target_placement
from tests.fakes import virtual_loop

ONE_WAY_S = {"dc": 0.0005, "region": 0.0015, "other": 0.03}


def member(name, *, data_centre="dc-a", region="north", slots=12):
    """Returns the record of a healthy target."""
    return member_record.MemberRecord(
        node_id=name,
        incarnation=1,
        status="serving",
        data_centre=data_centre,
        region=region,
        service="s",
        version="v1",
        peer_address="",
        call_address="",
        admin_address="",
        slots=slots,
        boot_ms=1,
        target_id=f"i-{name}",
        target_state="ready",
    )


def route(*, target_latency_ms=400, timeout_ms=800, priority=1, name="r"):
    """Returns an idempotent route."""
    return host_route.HostRoute(
        name=name,
        host="h",
        path_prefix="/",
        services=(weighted_service.WeightedService("s", 1),),
        is_idempotent=True,
        timeout_ms=timeout_ms,
        target_latency_ms=target_latency_ms,
        priority=priority,
        max_attempts=2,
    )


class LoadedTarget:
    """A target of a given speed with the admission queue of its gate."""

    def __init__(
        self, record, rng, *, work_s=0.09, speed=1.0, failure_share=0.0
    ):
        self.record = record
        self.rng = rng
        self.work_s = work_s
        self.route_work_s = {}
        self.speed = speed
        self.failure_share = failure_share
        self.times = service_times.ServiceTimes()
        self.queue = admission_queue.AdmissionQueue(
            clock=virtual_loop.LoopClock(), rng=rng, times=self.times
        )
        self.queue.slots = record.slots
        self.calls = 0
        self.failure_average = 0.0

    async def handle(self, call_id, call_route, left_s, max_wait_ms=None):
        """Runs one call and returns the gate's answer."""
        now_s = asyncio.get_running_loop().time()
        ran_s = 0.0
        status = 200
        failure = ""
        try:
            await self.queue.acquire(
                call_id,
                route=call_route.name,
                priority=call_route.priority,
                deadline_s=now_s + left_s,
                target_latency_ms=call_route.target_latency_ms,
                max_wait_ms=max_wait_ms,
            )
        except (
            exceptions.OverloadedError,
            exceptions.OfferDeclinedError,
        ) as error:
            status, failure = 503, error.code
        else:
            work_s = self.route_work_s.get(call_route.name, self.work_s)
            ran_s = work_s * self.rng.uniform(0.6, 1.4) / self.speed
            await asyncio.sleep(ran_s)
            self.queue.release(call_id)
            self.times.record(call_route.name, ran_s * 1000)
            self.calls += 1
            has_failed = self.rng.random() < self.failure_share
            self.failure_average += 0.05 * (has_failed - self.failure_average)
            status = 500 if has_failed else 200
        report = gate_report.GateReport(
            self.queue.running,
            self.queue.queued,
            int(ran_s * 1000),
            int(self.failure_average * 1000),
            int(
                self.queue.expected_wait_ms(
                    call_route.priority,
                    asyncio.get_running_loop().time() + left_s,
                )
            ),
        )
        outcome = "not-run" if status == 503 else "answer"
        result = call_result.CallResult(
            outcome, status, (), b"", failure=failure
        )
        return call_answer.CallAnswer(call_id, result, report)


class CallOutcomes:
    """Outcomes of simulated calls.

    Attributes:
        ended: Calls by outcome: `in-time`, `late`, `refused` or `failed`.
        distances: Attempts by distance: `dc`, `region` or `other`.
    """

    def __init__(self):
        self.ended = collections.Counter()
        self.distances = collections.Counter()

    def share(self, name):
        """Returns the share of calls with this outcome."""
        return self.ended[name] / max(1, sum(self.ended.values()))


class Caller:
    """One node that places calls on targets.

    Args:
        data_centre: Data centre of the node.
        region: Region of the data centre.
        targets: Loaded targets by node id.
        rng: Source of randomness.
        outcomes: Counts the outcomes.
    """

    def __init__(self, data_centre, region, targets, rng, outcomes):
        self.own = member(
            f"caller-{data_centre}", data_centre=data_centre, region=region
        )
        self.targets = targets
        self.rng = rng
        self.outcomes = outcomes
        self.calls = 0
        self.makes_offers = True
        self.placement = target_placement.TargetPlacement(
            own=self.own,
            clock=virtual_loop.LoopClock(),
            rng=rng,
            is_connected=lambda node_id: True,
            conditions=known_conditions.KnownConditions(),
        )

    def counting_in(self, outcomes):
        """Returns a copy that counts outcomes in another object."""
        other = copy.copy(self)
        other.outcomes = outcomes
        other.calls = 1_000_000
        return other

    async def call(self, call_route):
        """Places one call and counts its outcome."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        self.calls += 1
        call_id = f"{self.own.node_id}-{self.calls}"
        tried = set()
        declined = set()
        records = [target.record for target in self.targets.values()]
        status = 503
        while status == 503 and len(tried) < 3:
            left_ms = call_route.timeout_ms - (loop.time() - began_s) * 1000
            try:
                offer = self.placement.offer(
                    records,
                    route=call_route,
                    left_ms=left_ms,
                    tried=tried,
                    asked=declined,
                )
            except exceptions.CallError:
                break
            if not self.makes_offers:
                offer = offer._replace(max_wait_ms=None)
            answer = await self._send(offer, call_id, call_route, left_ms)
            status = answer.result.status
            if answer.result.failure == exceptions.OfferDeclinedError.code:
                declined.add(offer.member.node_id)
                continue
            tried.add(offer.member.node_id)
            declined.clear()
        took_ms = (loop.time() - began_s) * 1000
        self.outcomes.ended[_outcome(status, took_ms, call_route)] += 1

    async def _send(self, offer, call_id, call_route, left_ms):
        chosen = offer.member
        distance = self._distance(chosen)
        self.outcomes.distances[distance] += 1
        view = self.placement.view(chosen)
        view.in_flight += 1
        await asyncio.sleep(ONE_WAY_S[distance])
        target = self.targets[chosen.node_id]
        answer = await target.handle(
            call_id, call_route, left_ms / 1000, offer.max_wait_ms
        )
        await asyncio.sleep(ONE_WAY_S[distance])
        view.in_flight -= 1
        now_s = asyncio.get_running_loop().time()
        view.apply_report(answer.report, call_route.name, now_s)
        if answer.result.failure == exceptions.OverloadedError.code:
            view.record_refusal(call_route.name, now_s)
        return answer

    def _distance(self, chosen):
        if chosen.data_centre == self.own.data_centre:
            return "dc"
        return "region" if chosen.region == self.own.region else "other"


def _outcome(status, took_ms, call_route):
    if status == 503:
        return "refused"
    if status >= 500:
        return "failed"
    return "in-time" if took_ms <= call_route.target_latency_ms else "late"


async def run_callers(callers, rates_per_s, duration_s, call_route, rng):
    """Runs all callers, each with random arrivals at its rate."""

    async def arrive(caller, rate_per_s):
        end_s = asyncio.get_running_loop().time() + duration_s
        async with asyncio.TaskGroup() as tasks:
            while asyncio.get_running_loop().time() < end_s:
                tasks.create_task(caller.call(call_route))
                await asyncio.sleep(rng.expovariate(rate_per_s))

    async with asyncio.TaskGroup() as tasks:
        for caller, rate_per_s in zip(callers, rates_per_s, strict=True):
            tasks.create_task(arrive(caller, rate_per_s))


def four_data_centres(
    *, seed=3, speeds=(1.0, 1.0, 1.0, 1.0), failure_share=0.0
):
    """Returns callers and targets in two regions of two data centres each."""
    rng = random.Random(seed)
    places = [
        ("dc-a", "north"),
        ("dc-b", "north"),
        ("dc-c", "south"),
        ("dc-d", "south"),
    ]
    targets = {}
    for (data_centre, region), speed in zip(places, speeds, strict=True):
        record = member(
            f"t-{data_centre}", data_centre=data_centre, region=region
        )
        targets[record.node_id] = LoadedTarget(record, rng, speed=speed)
    targets["t-dc-a"].failure_share = failure_share
    outcomes = CallOutcomes()
    callers = [Caller(*place, targets, rng, outcomes) for place in places]
    return callers, targets, outcomes, rng
