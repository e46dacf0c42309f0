"""Simulated callers and targets of the overload benchmark.

Queues, paces and placement are those of the nodes; time is virtual and there is
no network.
"""

import asyncio
import collections
import math
import random
import typing

from bench import overload_policies
from galenatack import exceptions
from galenatack.admission import service_times
from galenatack.messages import call_answer
from galenatack.model import call_result
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


class CallClass(typing.NamedTuple):
    """Calls of one route.

    Attributes:
        name: Name of the route.
        share: Share of all calls.
        work_ms: Mean service time.
        objective_ms: Latency objective.
        timeout_ms: Time until the caller gives up.
        priority: Priority; 0 is the most urgent.
    """

    name: str
    share: float
    work_ms: float
    objective_ms: int
    timeout_ms: int
    priority: int


CLASSES = (
    CallClass("urgent", 0.2, 45.0, 150, 400, 0),
    CallClass("standard", 0.6, 90.0, 300, 1000, 1),
    CallClass("bulk", 0.2, 90.0, 1000, 3000, 2),
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
    """

    def __init__(self):
        self.ended: collections.Counter[tuple[str, str]] = collections.Counter()
        self.tries_refused = 0
        self.crossed = 0
        self.latencies_ms: dict[str, list[float]] = collections.defaultdict(
            list
        )

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
    """

    def __init__(
        self,
        record: member_record.MemberRecord,
        rng: random.Random,
        limit_per_s: float | None,
        policy: overload_policies.Policy,
    ):
        self._policy = policy
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
        self, call_id: str, kind: CallClass, spent_ms: float
    ) -> tuple[call_answer.CallAnswer, tuple[int, ...]]:
        """Runs a call, or refuses it; returns its answer and the waits."""
        now_s = asyncio.get_running_loop().time()
        deadline_s = now_s + (kind.timeout_ms - spent_ms) / MS_PER_S
        ran_ms = 0.0
        try:
            await self._queue.acquire(
                call_id,
                route=kind.name,
                priority=kind.priority,
                deadline_s=deadline_s,
                target_latency_ms=self._policy.objective_ms(
                    kind.objective_ms, spent_ms
                ),
            )
        except exceptions.OverloadedError as error:
            result = call_result.CallResult(
                "not-run", 503, (), b"", retry_after_ms=error.retry_after_ms
            )
        else:
            median_ms = kind.work_ms * math.exp(-(SIGMA**2) / 2)
            ran_ms = median_ms * math.exp(self._rng.gauss(0.0, SIGMA))
            await asyncio.sleep(ran_ms / MS_PER_S)
            self._queue.release(call_id)
            self._times.record(kind.name, ran_ms)
            result = call_result.CallResult("answer", 200, (), b"")
        report = gate_report.GateReport(
            self._queue.running,
            self._queue.queued,
            int(ran_ms),
            0,
            int(self._queue.expected_wait_ms(kind.priority, deadline_s)),
            condition=self._condition,
        )
        answer = call_answer.CallAnswer(call_id, result, report)
        return answer, self._policy.waits_ms(self._queue)


class Node:
    """A node whose callers come back after a refusal.

    Args:
        data_centre: Its data centre.
        region: Its region.
        targets: Targets by node id.
        rng: Source of randomness.
        tally: Counts the ends of the requests.
        policy: Policy of the queues and of the placement.
    """

    def __init__(
        self,
        data_centre: str,
        region: str,
        targets: dict[str, Target],
        rng: random.Random,
        tally: Tally,
        policy: overload_policies.Policy,
    ):
        self._own = fleet_load.member(
            f"caller-{data_centre}", data_centre=data_centre, region=region
        )
        self._targets = targets
        self._rng = rng
        self._tally = tally
        self._calls = 0
        self._policy = policy
        self._placement = policy.placement(
            {kind.name: kind.priority for kind in CLASSES},
            own=self._own,
            clock=virtual_loop.LoopClock(),
            rng=rng,
            is_connected=lambda node_id: True,
            conditions=known_conditions.KnownConditions(),
        )

    async def call(self, kind: CallClass, *, is_counted: bool) -> None:
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

    async def _try(self, kind: CallClass, used_ms: float) -> float | None:
        """Returns the Retry-After if a try was refused, else None."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        self._calls += 1
        call_id = f"{self._own.node_id}-{self._calls}"
        records = [target.record for target in self._targets.values()]
        tried: set[str] = set()
        retry_after_ms: float | None = None
        while len(tried) < MAX_SENDS:
            spent_ms = used_ms + (loop.time() - began_s) * MS_PER_S
            try:
                chosen = self._placement.choose(
                    records,
                    route=_route(kind),
                    left_ms=kind.timeout_ms - spent_ms,
                    tried=tried,
                )
            except exceptions.OverloadedError as error:
                return retry_after_ms or error.retry_after_ms
            tried.add(chosen.node_id)
            result = await self._send(chosen, call_id, kind, spent_ms)
            if result.status == 200:
                return None
            retry_after_ms = result.retry_after_ms
        return retry_after_ms

    async def _send(
        self,
        chosen: member_record.MemberRecord,
        call_id: str,
        kind: CallClass,
        spent_ms: float,
    ) -> call_result.CallResult:
        if chosen.data_centre == self._own.data_centre:
            distance = "dc"
        else:
            is_near = chosen.region == self._own.region
            distance = "region" if is_near else "other"
        self._tally.crossed += distance == "other"
        view = self._placement.view(chosen)
        view.in_flight += 1
        await asyncio.sleep(fleet_load.ONE_WAY_S[distance])
        target = self._targets[chosen.node_id]
        answer, waits_ms = await target.handle(call_id, kind, spent_ms)
        await asyncio.sleep(fleet_load.ONE_WAY_S[distance])
        view.in_flight -= 1
        now_s = asyncio.get_running_loop().time()
        self._policy.apply_waits(view, waits_ms, answer.report, kind.name)
        view.apply_report(answer.report, kind.name, now_s)
        if answer.result.status != 200:
            view.record_refusal(kind.name, now_s)
        return answer.result


def _route(kind: CallClass) -> host_route.HostRoute:
    return fleet_load.route(
        target_latency_ms=kind.objective_ms,
        timeout_ms=kind.timeout_ms,
        priority=kind.priority,
        name=kind.name,
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
    """

    seed: int
    factor: float
    is_limited: bool
    policy: str = "current"
    warm_s: float = 3.0
    seconds: float = 12.0


def capacity_per_s(load: Load) -> float:
    """Returns how many calls all targets can run in a second."""
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
    targets = {}
    limit_per_s = None
    if load.is_limited:
        limit_per_s = capacity_per_s(load) / len(PLACES) / TARGETS_PER_PLACE
    for data_centre, region in PLACES:
        for number in range(TARGETS_PER_PLACE):
            record = fleet_load.member(
                f"t-{data_centre}-{number}",
                data_centre=data_centre,
                region=region,
                slots=SLOTS,
            )
            targets[record.node_id] = Target(record, rng, limit_per_s, policy)
    nodes = [Node(*place, targets, rng, tally, policy) for place in PLACES]
    rate_per_s = load.factor * capacity_per_s(load)
    loop = asyncio.get_running_loop()
    weights = [kind.share for kind in CLASSES]
    async with asyncio.TaskGroup() as tasks:
        while loop.time() < load.warm_s + load.seconds:
            kind = rng.choices(CLASSES, weights)[0]
            is_counted = loop.time() >= load.warm_s
            tasks.create_task(
                rng.choice(nodes).call(kind, is_counted=is_counted)
            )
            await asyncio.sleep(rng.expovariate(rate_per_s))
    return tally
