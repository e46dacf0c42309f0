"""Simulated callers and targets of the overload benchmark.

Queues, paces and placement are those of the nodes; time is virtual and there is
no network.
"""

import asyncio
import collections
import math
import random
import typing

from bench import call_class
from bench import overload_policies
from bench import uneven_work
from galenatack import exceptions
from galenatack.admission import service_times
from galenatack.estimates import call_estimates
from galenatack.estimates import gate_work
from galenatack.estimates import request_cost
from galenatack.messages import call_answer
from galenatack.model import call_request
from galenatack.model import call_result
from galenatack.model import caller_request
from galenatack.model import gate_report
from galenatack.model import host_route
from galenatack.model import member_record
from galenatack.model import target_condition
from galenatack.placement import known_conditions
from tests.fakes import virtual_loop
from tests.placement import fleet_load

MS_PER_S = 1000.0
SIGMA = 0.45
"""Spread of the logarithms of service times."""

PLACES = (
    ("dc-a", "north"),
    ("dc-b", "north"),
    ("dc-c", "south"),
    ("dc-d", "south"),
)
TARGETS_PER_PLACE = 2
SLOTS = 12
MAX_SENDS = 3
MAX_RETURNS = 2


CLASSES = (
    call_class.CallClass("urgent", 0.2, 45.0, 150, 400, 0),
    call_class.CallClass("standard", 0.6, 90.0, 300, 1000, 1),
    call_class.CallClass("bulk", 0.2, 90.0, 1000, 3000, 2),
)
MEAN_WORK_MS = sum(item.share * item.work_ms for item in CLASSES)


class Tally:
    """Ends of the requests of one run, by class.

    Attributes:
        ended: Requests by class and end: `in-time`, `late` or `refused`, which
            is judged from their first try.
        tries_refused: Tries that were refused.
        crossed: Sends to another region.
        latencies_ms: Latencies of answered requests by class.
        machines: Machines of the targets, if they differ.
    """

    def __init__(self):
        self.ended: collections.Counter[tuple[str, str]] = collections.Counter()
        self.tries_refused = 0
        self.crossed = 0
        self.latencies_ms: dict[str, list[float]] = collections.defaultdict(
            list
        )
        self.machines: list[uneven_work.Machine] = []

    def count(self, end: str) -> int:
        """Returns the number of requests with an end."""
        return sum(n for (_, each), n in self.ended.items() if each == end)

    def share_in_time(self, name: str) -> float:
        """Returns the share of the requests of a class that were in time."""
        total = sum(n for (each, _), n in self.ended.items() if each == name)
        return self.ended[name, "in-time"] / max(1, total)

    def p99_ms(self, name: str) -> float:
        """Returns the 99th percentile of the latencies of a class."""
        latencies_ms = sorted(self.latencies_ms[name])
        return (
            latencies_ms[len(latencies_ms) * 99 // 100] if latencies_ms else 0
        )


class Target:
    """A target that may limit its rate, behind the queue of its gate.

    Args:
        record: Its record.
        rng: Random source for its service times.
        limit_per_s: Calls that it takes per second; None for no limit.
        policy: Policy of the queue.
        scene: Calls and machines of the run; None for even ones.
        machine: Machine of the target.
    """

    def __init__(
        self,
        record: member_record.MemberRecord,
        rng: random.Random,
        limit_per_s: float | None,
        policy: overload_policies.Policy,
        scene: uneven_work.Scene | None = None,
        machine: uneven_work.Machine | None = None,
    ):
        self._policy = policy
        self._scene = scene
        self._machine = machine
        self._work = gate_work.GateWork(clock=virtual_loop.LoopClock())
        self.record = record
        self._rng = rng
        self._condition = None
        self._times = service_times.ServiceTimes()
        self._queue = policy.queue(
            clock=virtual_loop.LoopClock(), rng=rng, times=self._times
        )
        self._queue.slots = record.slots
        if limit_per_s is not None:
            self._condition = target_condition.TargetCondition(
                rate_limit_per_s=limit_per_s
            )
            self._queue.limit_rate(limit_per_s)

    async def handle(
        self,
        call_id: str,
        kind: call_class.CallClass,
        spent_ms: float,
        cost_ms: float = 0.0,
    ) -> tuple[call_answer.CallAnswer, tuple[int, ...]]:
        """Runs a call, or refuses it; returns its answer and the waits."""
        now_s = asyncio.get_running_loop().time()
        deadline_s = now_s + (kind.timeout_ms - spent_ms) / MS_PER_S
        ran_ms = 0.0
        request = _call(call_id, kind, cost_ms)
        mean_ms = self._times.expected_ms(kind.route_name)
        expected = {}
        if self._scene:
            expected["expected_ms"] = self._work.add(request, mean_ms)
        try:
            await self._queue.acquire(
                call_id,
                route=kind.route_name,
                priority=kind.priority,
                deadline_s=deadline_s,
                target_latency_ms=self._policy.objective_ms(
                    kind.objective_ms, spent_ms
                ),
                **expected,
            )
        except exceptions.OverloadedError as error:
            result = call_result.CallResult(
                "not-run", 503, (), b"", retry_after_ms=error.retry_after_ms
            )
        else:
            ran_ms = await self._run(call_id, kind)
            self._queue.release(call_id)
            if self._scene:
                self._work.record(request, ran_ms=ran_ms, mean_ms=mean_ms)
            self._times.record(kind.route_name, ran_ms)
            result = call_result.CallResult("answer", 200, (), b"")
        self._work.end(call_id)
        report = gate_report.GateReport(
            self._queue.running,
            self._queue.queued,
            int(ran_ms),
            0,
            int(self._queue.expected_wait_ms(kind.priority, deadline_s)),
            condition=self._reported(),
            backlog_ms=self._work.backlog_ms(),
        )
        answer = call_answer.CallAnswer(call_id, result, report)
        return answer, self._policy.waits_ms(self._queue)

    async def _run(self, call_id: str, kind: call_class.CallClass) -> float:
        """Runs a call; returns its time in ms."""
        mean_ms = kind.work_ms
        if self._scene:
            mean_ms = self._scene.mean_ms(kind, self._rng)
        median_ms = mean_ms * math.exp(-(SIGMA**2) / 2)
        work_ms = median_ms * math.exp(self._rng.gauss(0.0, SIGMA))
        if self._machine is None:
            await asyncio.sleep(work_ms / MS_PER_S)
            return work_ms
        self._work.start(call_id)
        ran_ms = await self._machine.run(work_ms)
        self._condition = target_condition.TargetCondition(
            load=self._machine.load(self._queue.running, self._queue.slots)
        )
        self._work.apply_load(self._condition.load)
        return ran_ms

    def _reported(self) -> target_condition.TargetCondition | None:
        return self._work.faded(self._condition)


class Node:
    """A node whose callers come back after a refusal.

    Args:
        data_centre: Its data centre.
        region: Its region.
        targets: Targets by node id.
        rng: Source of randomness.
        tally: Counts the ends of the requests.
        policy: Policy of the queues and of the placement.
        scene: Calls and machines of the run; None for even ones.
        number: Number of the node in its data centre.
    """

    def __init__(
        self,
        data_centre: str,
        region: str,
        targets: dict[str, Target],
        rng: random.Random,
        tally: Tally,
        policy: overload_policies.Policy,
        scene: uneven_work.Scene | None = None,
        number: int = 0,
    ):
        self._estimates = call_estimates.CallEstimates(
            is_enabled=bool(scene and scene.uses_estimates)
        )
        self._own = fleet_load.member(
            f"caller-{data_centre}-{number}",
            data_centre=data_centre,
            region=region,
        )
        self._targets = targets
        self._rng = rng
        self._tally = tally
        self._calls = 0
        self._policy = policy
        self._placement = policy.placement(
            {
                kind.route_name: kind.priority
                for kind in (scene.classes if scene else CLASSES)
            },
            own=self._own,
            clock=virtual_loop.LoopClock(),
            rng=rng,
            is_connected=lambda node_id: True,
            conditions=known_conditions.KnownConditions(),
            predictor=self._estimates,
        )

    async def call(
        self, kind: call_class.CallClass, *, is_counted: bool
    ) -> None:
        """Sends a request, which comes back after a refusal some times."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        end = "refused"
        for _ in range(1 + MAX_RETURNS):
            used_ms = (loop.time() - began_s) * MS_PER_S
            if used_ms >= kind.timeout_ms:
                break
            retry_after_ms = await self._try(kind, used_ms)
            took_ms = (loop.time() - began_s) * MS_PER_S
            if retry_after_ms is None:
                end = "in-time" if took_ms <= kind.objective_ms else "late"
                break
            self._tally.tries_refused += is_counted
            await asyncio.sleep(retry_after_ms / MS_PER_S)
        if is_counted:
            self._tally.ended[kind.name, end] += 1
            if end != "refused":
                self._tally.latencies_ms[kind.name].append(took_ms)

    async def _try(
        self, kind: call_class.CallClass, used_ms: float
    ) -> float | None:
        """Returns the Retry-After if a try was refused, else None."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        self._calls += 1
        call_id = f"{self._own.node_id}-{self._calls}"
        records = [target.record for target in self._targets.values()]
        tried: set[str] = set()
        retry_after_ms: float | None = None
        cost = self._estimates.cost(_request(kind), _route(kind), "s")
        while len(tried) < MAX_SENDS:
            spent_ms = used_ms + (loop.time() - began_s) * MS_PER_S
            try:
                chosen = self._placement.choose(
                    records,
                    route=_route(kind),
                    left_ms=kind.timeout_ms - spent_ms,
                    tried=tried,
                    cost=cost,
                )
            except exceptions.OverloadedError as error:
                return retry_after_ms or error.retry_after_ms
            tried.add(chosen.node_id)
            result = await self._send(chosen, call_id, kind, spent_ms, cost)
            if result.status == 200:
                return None
            retry_after_ms = result.retry_after_ms
        return retry_after_ms

    async def _send(
        self,
        chosen: member_record.MemberRecord,
        call_id: str,
        kind: call_class.CallClass,
        spent_ms: float,
        cost: request_cost.RequestCost | None,
    ) -> call_result.CallResult:
        if chosen.data_centre == self._own.data_centre:
            distance = "dc"
        else:
            is_near = chosen.region == self._own.region
            distance = "region" if is_near else "other"
        self._tally.crossed += distance == "other"
        view = self._placement.view(chosen)
        view.in_flight += 1
        sent_s = asyncio.get_running_loop().time()
        self._estimates.record_sent(cost, view, sent_s)
        await asyncio.sleep(fleet_load.ONE_WAY_S[distance])
        target = self._targets[chosen.node_id]
        answer, waits_ms = await target.handle(
            call_id, kind, spent_ms, cost.work_ms if cost else 0.0
        )
        await asyncio.sleep(fleet_load.ONE_WAY_S[distance])
        view.in_flight -= 1
        self._estimates.record_ended(cost, view)
        now_s = asyncio.get_running_loop().time()
        self._policy.apply_waits(view, waits_ms, answer.report, kind.route_name)
        view.apply_report(answer.report, kind.route_name, now_s)
        self._estimates.record_report(
            cost,
            view,
            answer.report,
            took_ms=(now_s - sent_s) * MS_PER_S
            - self._placement.round_trip_ms(chosen),
            now_s=now_s,
        )
        if answer.result.status != 200:
            view.record_refusal(kind.route_name, now_s)
        return answer.result


def _route(kind: call_class.CallClass) -> host_route.HostRoute:
    return fleet_load.route(
        target_latency_ms=kind.objective_ms,
        timeout_ms=kind.timeout_ms,
        priority=kind.priority,
        name=kind.route_name,
    )


def _request(kind: call_class.CallClass) -> caller_request.CallerRequest:
    return caller_request.CallerRequest(
        "", "GET", "h", kind.path, (), b"", kind.timeout_ms
    )


def _call(
    call_id: str, kind: call_class.CallClass, cost_ms: float
) -> call_request.CallRequest:
    return call_request.CallRequest(
        call_id,
        "s",
        kind.route_name,
        "GET",
        kind.path,
        (),
        b"",
        kind.timeout_ms,
        posting=False,
        cost_ms=cost_ms,
    )


class Load(typing.NamedTuple):
    """Load of one run.

    Attributes:
        seed: Seed.
        factor: Offered load as a multiple of the capacity.
        is_limited: Whether the targets limit their rates to half of what
            their slots allow.
        policy: Name of the policy.
        warm_s: Time before calls are counted.
        seconds: Time in which calls are counted.
        scene: Calls and machines; None for even ones.
    """

    seed: int
    factor: float
    is_limited: bool
    policy: str = "current"
    warm_s: float = 3.0
    seconds: float = 12.0
    scene: uneven_work.Scene | None = None


def capacity_per_s(load: Load) -> float:
    """Returns how many calls all targets can run in a second."""
    if load.scene:
        slots = sum(load.scene.speeds) * load.scene.slots
        return slots * MS_PER_S / load.scene.mean_work_ms
    slots = len(PLACES) * TARGETS_PER_PLACE * SLOTS
    full_per_s = slots * MS_PER_S / MEAN_WORK_MS
    return full_per_s / 2 if load.is_limited else full_per_s


def play(load: Load) -> Tally:
    """Plays one run in virtual time."""
    return virtual_loop.run(lambda: _play(load))


async def _play(load: Load) -> Tally:
    rng = random.Random(load.seed)
    tally = Tally()
    policy = overload_policies.POLICIES[load.policy]
    scene = load.scene
    places = scene.places if scene else PLACES
    targets = _targets(load, rng, tally)
    nodes = [
        Node(*place, targets, rng, tally, policy, scene, number)
        for number, place in enumerate(places)
    ]
    rate_per_s = load.factor * capacity_per_s(load)
    loop = asyncio.get_running_loop()
    classes = scene.classes if scene else CLASSES
    weights = [kind.share for kind in classes]
    async with asyncio.TaskGroup() as tasks:
        while loop.time() < load.warm_s + load.seconds:
            kind = rng.choices(classes, weights)[0]
            is_counted = loop.time() >= load.warm_s
            tasks.create_task(
                rng.choice(nodes).call(kind, is_counted=is_counted)
            )
            await asyncio.sleep(rng.expovariate(rate_per_s))
    return tally


def _targets(load: Load, rng: random.Random, tally: Tally) -> dict[str, Target]:
    policy = overload_policies.POLICIES[load.policy]
    scene = load.scene
    limit_per_s = None
    if load.is_limited:
        limit_per_s = capacity_per_s(load) / len(PLACES) / TARGETS_PER_PLACE
    machines = []
    if scene:
        # Spells are the same for all policies and seeds of a load.
        spells = random.Random(load.seed + 1000)
        end_s = load.warm_s + load.seconds
        machines = uneven_work.machines(scene, spells, end_s)
    tally.machines = machines
    targets = {}
    for place, (data_centre, region) in enumerate(
        scene.places if scene else PLACES
    ):
        for number in range(TARGETS_PER_PLACE):
            record = fleet_load.member(
                f"t-{data_centre}-{place}-{number}",
                data_centre=data_centre,
                region=region,
                slots=scene.slots if scene else SLOTS,
            )
            machine = machines[len(targets)] if machines else None
            targets[record.node_id] = Target(
                record, rng, limit_per_s, policy, scene, machine
            )
    return targets
