"""Plays a load on gates and placement in virtual time, without a network."""

import asyncio
import collections
import copy
import random

from galenatack import exceptions
from galenatack.messages import call_answer
from galenatack.model import call_result
from galenatack.model import gate_report
from galenatack.model import host_route
from galenatack.model import member_record
from galenatack.model import weighted_service
from galenatack.traffic import admission_queue
from galenatack.traffic import service_times
from galenatack.traffic import target_placement
from tests.fakes import virtual_loop

WAY_S = {"dc": 0.0005, "region": 0.0015, "other": 0.03}


def member(name, *, data_centre="dc-a", region="north", slots=12):
    """Returns the record of a sound target."""
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


def route(*, aim_ms=400, timeout_ms=800, priority=1, name="r"):
    """Returns a route that may be repeated."""
    return host_route.HostRoute(
        name=name,
        host="h",
        path_prefix="/",
        services=(weighted_service.WeightedService("s", 1),),
        is_idempotent=True,
        timeout_ms=timeout_ms,
        target_latency_ms=aim_ms,
        priority=priority,
        max_attempts=2,
    )


class LoadedTarget:
    """A gate's queue before a target with a speed of its own."""

    def __init__(self, record, rng, *, work_s=0.09, speed=1.0, failing=0.0):
        self.record = record
        self.rng = rng
        self.work_s = work_s
        self.works = {}
        self.speed = speed
        self.failing = failing
        self.times = service_times.ServiceTimes()
        self.queue = admission_queue.AdmissionQueue(
            clock=virtual_loop.LoopClock(), rng=rng, times=self.times
        )
        self.queue.slots = record.slots
        self.calls = 0
        self.failures = 0.0

    async def handle(self, call_id, wanted, left_s):
        """Runs one call and returns the gate's answer."""
        now_s = asyncio.get_running_loop().time()
        ran_s = 0.0
        status = 200
        try:
            await self.queue.acquire(
                call_id,
                route=wanted.name,
                priority=wanted.priority,
                deadline_s=now_s + left_s,
                target_latency_ms=wanted.target_latency_ms,
            )
        except exceptions.OverloadedError:
            status = 503
        else:
            work_s = self.works.get(wanted.name, self.work_s)
            ran_s = work_s * self.rng.uniform(0.6, 1.4) / self.speed
            await asyncio.sleep(ran_s)
            self.queue.release(call_id)
            self.times.record(wanted.name, ran_s * 1000)
            self.calls += 1
            has_failed = self.rng.random() < self.failing
            self.failures += 0.05 * (has_failed - self.failures)
            status = 500 if has_failed else 200
        report = gate_report.GateReport(
            self.queue.running,
            self.queue.queued,
            int(ran_s * 1000),
            int(self.failures * 1000),
            int(
                self.queue.expected_wait_ms(
                    wanted.priority,
                    asyncio.get_running_loop().time() + left_s,
                )
            ),
        )
        outcome = "not-run" if status == 503 else "answer"
        result = call_result.CallResult(outcome, status, (), b"")
        return call_answer.CallAnswer(call_id, result, report)


class Played:
    """What callers got.

    Attributes:
        ended: Calls by end: `in-aim`, `late`, `refused` or `failed`.
        ways: Calls by the way that they took.
    """

    def __init__(self):
        self.ended = collections.Counter()
        self.ways = collections.Counter()

    def share(self, name):
        """Returns the part of all calls that ended so."""
        return self.ended[name] / max(1, sum(self.ended.values()))


class Caller:
    """One node that places calls on targets.

    Args:
        data_centre: Data centre of the node.
        region: Region of the data centre.
        targets: Loaded targets by node id.
        rng: Source of randomness.
        played: Where the ends are counted.
    """

    def __init__(self, data_centre, region, targets, rng, played):
        self.own = member(
            f"caller-{data_centre}", data_centre=data_centre, region=region
        )
        self.targets = targets
        self.rng = rng
        self.played = played
        self.calls = 0
        self.placement = target_placement.TargetPlacement(
            own=self.own,
            clock=virtual_loop.LoopClock(),
            rng=rng,
            is_connected=lambda node_id: True,
        )

    def counting_in(self, played):
        """Returns a caller of the same node that counts elsewhere."""
        other = copy.copy(self)
        other.played = played
        other.calls = 1_000_000
        return other

    async def call(self, wanted):
        """Places one call and counts its end."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        self.calls += 1
        call_id = f"{self.own.node_id}-{self.calls}"
        tried = set()
        records = [target.record for target in self.targets.values()]
        status = 503
        while status == 503 and len(tried) < 3:
            left_ms = wanted.timeout_ms - (loop.time() - began_s) * 1000
            try:
                chosen = self.placement.choose(
                    records,
                    route=wanted,
                    left_ms=left_ms,
                    tried=tried,
                )
            except exceptions.CallError:
                break
            tried.add(chosen.node_id)
            answer = await self._send(chosen, call_id, wanted, left_ms)
            status = answer.result.status
        took_ms = (loop.time() - began_s) * 1000
        self.played.ended[_end(status, took_ms, wanted)] += 1

    async def _send(self, chosen, call_id, wanted, left_ms):
        way = self._way(chosen)
        self.played.ways[way] += 1
        view = self.placement.view(chosen)
        view.in_flight += 1
        await asyncio.sleep(WAY_S[way])
        target = self.targets[chosen.node_id]
        answer = await target.handle(call_id, wanted, left_ms / 1000)
        await asyncio.sleep(WAY_S[way])
        view.in_flight -= 1
        now_s = asyncio.get_running_loop().time()
        view.apply_report(answer.report, wanted.name, now_s)
        if answer.result.status == 503:
            view.note_refusal(wanted.name, now_s)
        return answer

    def _way(self, chosen):
        if chosen.data_centre == self.own.data_centre:
            return "dc"
        return "region" if chosen.region == self.own.region else "other"


def _end(status, took_ms, wanted):
    if status == 503:
        return "refused"
    if status >= 500:
        return "failed"
    return "in-aim" if took_ms <= wanted.target_latency_ms else "late"


async def play(callers, rates_per_s, duration_s, wanted, rng):
    """Lets each caller place calls at its rate."""

    async def arrive(caller, rate_per_s):
        end_s = asyncio.get_running_loop().time() + duration_s
        async with asyncio.TaskGroup() as tasks:
            while asyncio.get_running_loop().time() < end_s:
                tasks.create_task(caller.call(wanted))
                await asyncio.sleep(rng.expovariate(rate_per_s))

    async with asyncio.TaskGroup() as tasks:
        for caller, rate_per_s in zip(callers, rates_per_s, strict=True):
            tasks.create_task(arrive(caller, rate_per_s))


def four_data_centres(*, seed=3, speeds=(1.0, 1.0, 1.0, 1.0), failing=0.0):
    """Returns callers and targets in two regions of two data centres."""
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
    targets["t-dc-a"].failing = failing
    played = Played()
    callers = [Caller(*place, targets, rng, played) for place in places]
    return callers, targets, played, rng
