"""Simulated callers and targets of the overload benchmark.

Queues, paces and placement are those of the nodes; time is virtual and there is
no network.
"""

import asyncio
import collections
import collections.abc
import itertools
import math
import random
import typing

from bench import overload_crowd
from bench import overload_features
from galenatack import exceptions
from galenatack.admission import admission_queue
from galenatack.admission import service_times
from galenatack.messages import call_answer
from galenatack.model import call_result
from galenatack.model import caller_request
from galenatack.model import gate_report
from galenatack.model import host_route
from galenatack.model import member_record
from galenatack.model import target_condition
from galenatack.placement import known_conditions
from galenatack.placement import target_placement
from galenatack.traffic import returned_requests
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


class Trait(typing.NamedTuple):
    """What one request is, beside its class.

    Attributes:
        body: Contents that all its tries have in common.
        tenant: Its tenant; empty without one.
        parts: Class of the call that its run makes; None without one.
    """

    body: bytes
    tenant: str = ""
    parts: CallClass | None = None


CLASSES = (
    CallClass("urgent", 0.2, 45.0, 150, 400, 0),
    CallClass("standard", 0.6, 90.0, 300, 1000, 1),
    CallClass("bulk", 0.2, 90.0, 1000, 3000, 2),
)
PART = CallClass("part", 0.0, 30.0, 150, 1000, 1)
"""Calls that runs make, if they do; their deadline is what is left of that of
the run."""


class Tally:
    """Ends of the requests of one run, by class.

    Attributes:
        ended: Requests by class and end: `in-time`, `late` or `refused`, which
            is judged from their first try.
        tries_refused: Tries that were refused.
        crossed: Sends to another region.
        latencies_ms: Latencies of answered requests by class.
        served: Requests that were in time, by tenant.
    """

    def __init__(self):
        self.ended: collections.Counter[tuple[str, str]] = collections.Counter()
        self.tries_refused = 0
        self.crossed = 0
        self.latencies_ms: dict[str, list[float]] = collections.defaultdict(
            list
        )
        self.served: collections.Counter[str] = collections.Counter()

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
        features: What its gate tells.

    Attributes:
        node: Node beside it, over which its runs make calls.
    """

    def __init__(
        self,
        record: member_record.MemberRecord,
        rng: random.Random,
        limit_per_s: float | None,
        features: overload_features.Features,
    ):
        self.record = record
        self.node: Node | None = None
        self._rng = rng
        self._features = features
        self._condition = None
        self._times = service_times.ServiceTimes()
        self._queue = admission_queue.AdmissionQueue(
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
        kind: CallClass,
        trait: Trait,
        *,
        left_ms: float,
        waited_ms: float,
    ) -> call_answer.CallAnswer:
        """Runs a call, or refuses it."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + left_ms / MS_PER_S
        tenant = trait.tenant if self._features.tenants else ""
        began_s = loop.time()
        try:
            await self._queue.acquire(
                call_id,
                route=kind.name,
                priority=kind.priority,
                deadline_s=deadline_s,
                target_latency_ms=kind.objective_ms,
                waited_ms=waited_ms if self._features.waited else 0.0,
                tenant=tenant,
            )
        except exceptions.OverloadedError as error:
            result = call_result.CallResult(
                "not-run", 503, (), b"", retry_after_ms=error.retry_after_ms
            )
            ran_ms = 0.0
        else:
            began_s = loop.time()
            has_all = await self._run(kind, trait, deadline_s)
            ran_ms = (loop.time() - began_s) * MS_PER_S
            self._queue.release(call_id)
            self._times.record(kind.name, ran_ms)
            result = call_result.CallResult(
                "answer", 200 if has_all else 500, (), b""
            )
        report = gate_report.GateReport(
            self._queue.running,
            self._queue.queued,
            int(ran_ms),
            0,
            int(
                self._queue.expected_wait_ms(
                    kind.priority, deadline_s, route=kind.name, tenant=tenant
                )
            ),
            condition=self._condition,
        )
        if self._features.waits:
            report = report._replace(waits_ms=self._queue.expected_waits_ms())
        return call_answer.CallAnswer(call_id, result, report)

    async def _run(
        self, kind: CallClass, trait: Trait, deadline_s: float
    ) -> bool:
        """Returns whether the run got what it asked for itself."""
        work_ms = kind.work_ms - (trait.parts.work_ms if trait.parts else 0.0)
        median_ms = work_ms * math.exp(-(SIGMA**2) / 2)
        ran_ms = median_ms * math.exp(self._rng.gauss(0.0, SIGMA))
        await asyncio.sleep(ran_ms / MS_PER_S)
        if trait.parts is None:
            return True
        left_ms = (deadline_s - asyncio.get_running_loop().time()) * MS_PER_S
        result = await self.node.try_once(
            trait.parts, Trait(trait.body + b"/part"), left_ms
        )
        return result.status == 200


class Node:
    """A node whose callers come back after a refusal.

    Args:
        data_centre: Its data centre.
        region: Its region.
        targets: Targets by node id.
        rng: Source of randomness.
        tally: Counts the ends of the requests.
    """

    def __init__(
        self,
        data_centre: str,
        region: str,
        targets: dict[str, Target],
        rng: random.Random,
        tally: Tally,
    ):
        self._own = fleet_load.member(
            f"caller-{data_centre}", data_centre=data_centre, region=region
        )
        self._targets = targets
        self._tally = tally
        self._calls = 0
        self._returned = returned_requests.ReturnedRequests(
            clock=virtual_loop.LoopClock()
        )
        self._placement = target_placement.TargetPlacement(
            own=self._own,
            clock=virtual_loop.LoopClock(),
            rng=rng,
            is_connected=lambda node_id: True,
            conditions=known_conditions.KnownConditions(),
        )

    async def call(
        self, kind: CallClass, trait: Trait, *, is_counted: bool
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
        self, kind: CallClass, trait: Trait, left_ms: float
    ) -> call_result.CallResult:
        """Handles a request as a node does, which knows its deadline only."""
        now_s = asyncio.get_running_loop().time()
        request = caller_request.CallerRequest(
            "", "GET", "h", f"/{kind.name}/", (), trait.body, int(left_ms)
        )
        first_s = self._returned.arrived_s(request, now_s)
        deadline_s = now_s + left_ms / MS_PER_S
        result = await self._attempt(kind, trait, first_s, deadline_s)
        if result.outcome == "not-run":
            self._returned.note_refused(request, first_s=first_s, now_s=now_s)
        return result

    async def _attempt(
        self, kind: CallClass, trait: Trait, first_s: float, deadline_s: float
    ) -> call_result.CallResult:
        loop = asyncio.get_running_loop()
        self._calls += 1
        call_id = f"{self._own.node_id}-{self._calls}"
        records = [target.record for target in self._targets.values()]
        tried: set[str] = set()
        refusal: call_result.CallResult | None = None
        while len(tried) < MAX_SENDS:
            left_ms = (deadline_s - loop.time()) * MS_PER_S
            try:
                chosen = self._placement.choose(
                    records,
                    route=_route(kind),
                    left_ms=left_ms,
                    tried=tried,
                    tenant=trait.tenant,
                )
            except exceptions.OverloadedError as error:
                return refusal or call_result.CallResult(
                    "not-run", 503, (), b"", retry_after_ms=error.retry_after_ms
                )
            tried.add(chosen.node_id)
            waited_ms = (loop.time() - first_s) * MS_PER_S
            sending = self._targets[chosen.node_id].handle(
                call_id, kind, trait, left_ms=left_ms, waited_ms=waited_ms
            )
            refusal = await self._send(chosen, kind, trait, sending)
            if refusal.outcome == "answer":
                return refusal
        return refusal

    async def _send(
        self,
        chosen: member_record.MemberRecord,
        kind: CallClass,
        trait: Trait,
        sending: collections.abc.Coroutine[
            typing.Any, typing.Any, call_answer.CallAnswer
        ],
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
        answer = await sending
        await asyncio.sleep(fleet_load.ONE_WAY_S[distance])
        view.in_flight -= 1
        now_s = asyncio.get_running_loop().time()
        view.apply_report(
            answer.report,
            kind.name,
            now_s,
            priority=kind.priority,
            tenant=trait.tenant,
        )
        if answer.result.outcome == "not-run":
            view.record_refusal(kind.name, now_s, tenant=trait.tenant)
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
        warm_s: Time before calls are counted.
        seconds: Time in which calls are counted.
        features: What the nodes tell each other.
        crowd: Tenants that send the requests; None without tenants. They send
            `standard` requests only.
        nested: Share of the `standard` requests whose runs make a call.
        part: Class of these calls.
    """

    seed: int
    factor: float
    is_limited: bool
    warm_s: float = 3.0
    seconds: float = 12.0
    features: overload_features.Features = overload_features.Features()
    crowd: overload_crowd.Crowd | None = None
    nested: float = 0.0
    part: CallClass = PART

    @property
    def classes(self) -> tuple[CallClass, ...]:
        """Classes of the requests."""
        return CLASSES if self.crowd is None else CLASSES[1:2]


def capacity_per_s(load: Load) -> float:
    """Returns how many calls all targets can run in a second."""
    slots = len(PLACES) * TARGETS_PER_PLACE * SLOTS
    shares = sum(kind.share for kind in load.classes)
    work_ms = sum(kind.share * kind.work_ms for kind in load.classes)
    full_per_s = slots * MS_PER_S * shares / work_ms
    return full_per_s / 2 if load.is_limited else full_per_s


def play(load: Load) -> Tally:
    """Plays one run in virtual time."""
    return virtual_loop.run(lambda: _play(load))


async def _play(load: Load) -> Tally:
    rng = random.Random(load.seed)
    tally = Tally()
    targets = _targets(load, rng)
    nodes = [Node(*place, targets, rng, tally) for place in PLACES]
    for target in targets.values():
        place = (target.record.data_centre, target.record.region)
        target.node = nodes[PLACES.index(place)]
    rate_per_s = load.factor * capacity_per_s(load)
    loop = asyncio.get_running_loop()
    weights = [kind.share for kind in load.classes]
    async with asyncio.TaskGroup() as tasks:
        for number in itertools.count():
            if loop.time() >= load.warm_s + load.seconds:
                break
            kind = rng.choices(load.classes, weights)[0]
            is_counted = loop.time() >= load.warm_s
            trait = Trait(str(number).encode())
            if load.crowd is not None:
                trait = trait._replace(tenant=load.crowd.draw(rng))
            if kind.name == "standard" and rng.random() < load.nested:
                trait = trait._replace(parts=load.part)
            tasks.create_task(
                rng.choice(nodes).call(kind, trait, is_counted=is_counted)
            )
            await asyncio.sleep(rng.expovariate(rate_per_s))
    return tally


def _targets(load: Load, rng: random.Random) -> dict[str, Target]:
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
            targets[record.node_id] = Target(
                record, rng, limit_per_s, load.features
            )
    return targets
