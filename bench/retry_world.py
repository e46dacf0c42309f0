"""Routers and gates of a fleet in virtual time, with targets that call on.

Links and targets are simulated; routers, gates, budgets and placement are those
of the nodes.
"""

import asyncio
import bisect
import collections
import itertools
import math
import random
import typing

from galenatack import exceptions
from galenatack.admission import admission_queue
from galenatack.admission import retried_runs
from galenatack.admission import retry_slack
from galenatack.admission import service_times
from galenatack.admission import target_calls
from galenatack.admission import target_gate
from galenatack.admission import target_registry
from galenatack.app import mesh_base
from galenatack.app import mesh_quarantine
from galenatack.app import mesh_rollouts
from galenatack.bodies import announced_bodies
from galenatack.bodies import body_fetcher
from galenatack.estimates import call_estimates
from galenatack.estimates import gate_work
from galenatack.homes import permitted_targets
from galenatack.links import handshake
from galenatack.model import caller_limits
from galenatack.model import caller_request
from galenatack.model import host_route
from galenatack.model import target_announcement
from galenatack.model import target_answer
from galenatack.model import traffic_config
from galenatack.model import weighted_service
from galenatack.placement import known_conditions
from galenatack.placement import target_placement
from galenatack.quarantine import crash_detector
from galenatack.settings import fleet_bounds
from galenatack.settings import mesh_settings
from galenatack.tenants import tenant_admission
from galenatack.traffic import attempt_budget
from galenatack.traffic import call_message_handler
from galenatack.traffic import call_router
from galenatack.traffic import call_sender
from galenatack.traffic import call_telemetry
from galenatack.traffic import config_holder
from galenatack.traffic import returned_requests
from galenatack.traffic import shutdown_admission
from galenatack.traffic import target_directory
from tests.fakes import virtual_loop

WINDOW_S = 10.0
RATIO = 0.2
SLOTS = 4
HOST = "h"
ONE_WAY_S = 0.002


class Nested(typing.NamedTuple):
    """Calls that a run makes."""

    service: str
    times: int
    share: float


class Service(typing.NamedTuple):
    """A service and what its runs do."""

    name: str
    work_s: float
    nested: Nested | None
    timeout_ms: int


SERVICES = {
    service.name: service
    for service in (
        Service("outer", 0.06, Nested("middle", 2, 0.7), 800),
        Service("middle", 0.03, Nested("inner", 2, 0.7), 400),
        Service("inner", 0.015, None, 200),
    )
}


class RetryLedger:
    """Counts requests and retries as the bound on retries does."""

    def __init__(self):
        self.requests = collections.defaultdict(list)
        self.retries = collections.defaultdict(list)
        self._arrived = set()
        self._of_retry = set()

    def record_request(self, service, request_id, *, is_of_retry=False):
        """Counts a request; calls of a retried run are told apart."""
        if is_of_retry:
            self._of_retry.add(request_id)
        else:
            self.requests[service].append(_now_s())

    def record_arrival(self, service, request_id):
        """Counts an arrival; returns whether its run counts as a retry."""
        is_retry = request_id in self._arrived or request_id in self._of_retry
        self._arrived.add(request_id)
        if is_retry:
            self.retries[service].append(_now_s())
        return is_retry

    def excess(self, service, slack):
        """Returns by how much the worst window exceeds its bound.

        The requests are those of the window, of the one before it or of the one
        half a window earlier, whichever has most.
        """
        retries = self.retries[service]
        requests = self.requests[service]
        worst = -math.inf
        for start_s in retries:
            count = _count_window(retries, start_s)
            most = max(
                _count_window(requests, start_s - back_s)
                for back_s in (0.0, WINDOW_S / 2, WINDOW_S)
            )
            worst = max(worst, count - RATIO * most - slack)
        return worst


class SimulatedTarget:
    """Runs calls, and makes calls of its own through its node.

    Attributes:
        shed_share: Share of arrivals that it refuses.
        failure_share: Share of runs that fail.
    """

    def __init__(self, world, node_name, service, rng):
        self._world = world
        self._node_name = node_name
        self._service = service
        self._rng = rng
        self.shed_share = 0.0
        self.failure_share = 0.0

    async def call(self, request):
        """Implements `interfaces.target_link.TargetLink.call`."""
        is_retry = self._world.ledger.record_arrival(
            self._service.name, request.request_id
        )
        if self._rng.random() < self.shed_share:
            raise exceptions.TargetShedError("busy", retry_after_ms=100)
        has_failed = self._rng.random() < self.failure_share
        nested = self._service.nested
        if nested is not None and self._rng.random() < nested.share:
            ends = await asyncio.gather(
                *(
                    self._call_on(nested.service, is_retry)
                    for _ in range(nested.times)
                )
            )
            has_failed |= any(status != 200 for status in ends)
        work_s = self._service.work_s * self._rng.uniform(0.6, 1.4)
        await asyncio.sleep(work_s)
        return target_answer.TargetAnswer(500 if has_failed else 200, (), b"")

    async def _call_on(self, service, is_retry):
        node = self._world.nodes[self._node_name]
        result = await self._world.send(node, service, is_of_retry=is_retry)
        return result.status


class LinkedPeers:
    """Implements `interfaces.peer_network.PeerNetwork` for one node."""

    def __init__(self, world, name):
        self._world = world
        self._name = name
        self._handlers = {}

    def on(self, message_type, handler):
        """Registers a handler."""
        self._handlers[message_type] = handler

    def protocol(self, node_id):
        """Returns the protocol of this release."""
        del node_id
        return handshake.PROTOCOL

    def is_connected(self, node_id):
        """Returns whether a node can be reached."""
        return self._world.is_linked(self._name, node_id)

    async def broadcast(self, message, *, exclude=None):
        """Drops the message; these runs need no flooding."""

    async def send(self, node_id, message):
        """Passes a message on."""
        if self.is_connected(node_id):
            await self._deliver(node_id, message)

    async def request(self, node_id, message, *, timeout_s):
        """Passes a request on and returns the reply."""
        if not self.is_connected(node_id):
            raise exceptions.PeerUnreachableError(node_id)
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.sleep(ONE_WAY_S)
                reply = await self._deliver(node_id, message)
                await asyncio.sleep(ONE_WAY_S)
        except TimeoutError as error:
            raise exceptions.PeerTimeoutError(node_id) from error
        if not self.is_connected(node_id):
            raise exceptions.PeerTimeoutError(node_id)
        return reply

    async def _deliver(self, node_id, message):
        peers = self._world.nodes[node_id].peers
        return await peers.dispatch(self._name, message)

    async def dispatch(self, sender, message):
        """Handles a message from another node."""
        return await self._handlers[type(message)](sender, message)


class Node:
    """Router and gate of one node, with its target."""

    def __init__(self, world, name, service, target, rng):
        self.peers = LinkedPeers(world, name)
        base = mesh_base.make(
            _settings(name, service, world.slack),
            virtual_loop.LoopClock(),
            rng,
        )._replace(peers=self.peers)
        self.members = base.members
        self._slack = retry_slack.RetrySlack(
            clock=base.clock, bounds=base.settings.bounds.retries
        )
        self._runs = retried_runs.RetriedRuns(
            clock=base.clock, slack=self._slack
        )
        rollouts = mesh_rollouts.make(base)
        quarantine = mesh_quarantine.make(base, store=None)
        self._make_gate(base, rollouts, quarantine, service, target)
        self._make_router(base, rollouts, quarantine)
        self.config.apply_if_newer(world.config)
        self.members.subscribe(self._members_changed)
        self.members.update_own(
            status="serving",
            target_id=f"i-{name}",
            target_state="ready",
            version="v1",
            slots=SLOTS,
        )

    def _make_gate(self, base, rollouts, quarantine, service, target):
        registry = target_registry.TargetRegistry(
            service=service.name,
            clock=base.clock,
            drain_notice_s=1.0,
            on_changed=lambda: None,
        )
        registry.announce(
            target_announcement.TargetAnnouncement(
                target_id=f"i-{base.settings.node_id}",
                service=service.name,
                version="v1",
                slots=SLOTS,
                state="ready",
                warm_up_left_ms=0,
                born_ms=1,
                sequence=1,
            )
        )
        times = service_times.ServiceTimes()
        self.gate = target_gate.TargetGate(
            registry=registry,
            queue=admission_queue.AdmissionQueue(
                clock=base.clock, rng=base.rng, times=times
            ),
            times=times,
            calls=target_calls.TargetCalls(
                registry=registry,
                link=target,
                clock=base.clock,
                quarantine=quarantine.quarantine,
                crashes=crash_detector.CrashDetector(
                    name=base.settings.node_id,
                    reports=quarantine.reports,
                    is_reachable=_is_reachable,
                ),
            ),
            clock=base.clock,
            log=base.log,
            stats=base.stats,
            is_withdrawn=rollouts.registry.is_withdrawn,
            on_outcome=rollouts.pool.record,
            quarantine=quarantine.quarantine,
            runs=self._runs,
            bodies=body_fetcher.BodyFetcher(peers=self.peers, clock=base.clock),
            work=gate_work.GateWork(clock=base.clock),
        )
        self.gate.on_target_changed()
        call_message_handler.CallMessageHandler(
            peers=self.peers, gate=self.gate
        )

    def _make_router(self, base, rollouts, quarantine):
        self.config = config_holder.ConfigHolder()
        budget = attempt_budget.AttemptBudget(
            clock=base.clock, slack=self._slack
        )
        conditions = known_conditions.KnownConditions()
        placement = target_placement.TargetPlacement(
            own=base.members.own,
            clock=base.clock,
            rng=base.rng,
            is_connected=self.peers.is_connected,
            conditions=conditions,
        )
        self.router = call_router.CallRouter(
            config=self.config,
            targets=permitted_targets.PermittedTargets(
                directory=target_directory.TargetDirectory(
                    members=base.members
                ),
                evacuations=base.evacuations,
            ),
            versions=rollouts.versions,
            placement=placement,
            budget=budget,
            runs=self._runs,
            sender=call_sender.CallSender(
                own=base.members.own,
                peers=self.peers,
                gate=self.gate,
                conditions=conditions,
                bodies=announced_bodies.AnnouncedBodies(peers=self.peers),
                clock=base.clock,
                rng=base.rng,
            ),
            returned=returned_requests.ReturnedRequests(clock=base.clock),
            conditions=conditions,
            quarantine=quarantine.quarantine,
            shutdown=shutdown_admission.ShutdownAdmission(clock=base.clock),
            tenants=tenant_admission.TenantAdmission(
                in_force=lambda: self.config.tenants
            ),
            clock=base.clock,
            telemetry=call_telemetry.CallTelemetry(
                config=self.config,
                placement=placement,
                budget=budget,
                clock=base.clock,
                log=base.log,
                stats=base.stats,
            ),
            estimates=call_estimates.CallEstimates(is_enabled=False),
        )

    def _members_changed(self, changed):
        del changed
        self._slack.set_nodes(len(self.members.live()))


class RetryWorld:
    """A fleet of nodes, each with a target.

    Args:
        rng: Source of randomness.
        targets: Number of targets of each service.
        slack: Retries that are allowed in a window without calls.
    """

    def __init__(self, rng, *, targets=4, slack=16):
        self.rng = rng
        self.slack = slack
        self.ledger = RetryLedger()
        self.config = _config()
        self.nodes = {}
        self.targets = {}
        self.services = {}
        self._numbers = itertools.count()
        self._cut_off = frozenset()
        for index in range(targets):
            for service in SERVICES.values():
                self.add(f"{service.name}-{index}", service)
        self.tell_members()

    def add(self, name, service):
        """Adds a node with a target; it knows no other node."""
        self.services[name] = service
        self.targets[name] = SimulatedTarget(self, name, service, self.rng)
        self.restart(name)

    def restart(self, name):
        """Makes a node anew; it remembers nothing."""
        self.nodes[name] = Node(
            self, name, self.services[name], self.targets[name], self._fork()
        )

    def tell_members(self):
        """Tells all nodes of those on their side of a cut."""
        for name, node in self.nodes.items():
            node.members.merge(
                other.members.own
                for other_name, other in self.nodes.items()
                if self.is_linked(name, other_name)
            )

    def cut_off(self, names):
        """Cuts nodes off from the others; an empty set heals the cut.

        The cut is noticed at once: each side takes the other for dead.
        """
        self._cut_off = frozenset(names)
        for name, node in self.nodes.items():
            node.members.merge(
                record._replace(status="dead", beat=record.beat + 1)
                for record in node.members.live()
                if not self.is_linked(name, record.node_id)
            )
        if not names:
            for node in self.nodes.values():
                own = node.members.own
                node.members.update_own(incarnation=own.incarnation + 1)
            self.tell_members()

    def is_linked(self, left, right):
        """Returns whether two nodes can reach each other."""
        return (left in self._cut_off) == (right in self._cut_off)

    async def send(self, node, service, *, is_of_retry=False):
        """Sends one request to a node and returns the result."""
        request_id = f"r{next(self._numbers)}"
        self.ledger.record_request(service, request_id, is_of_retry=is_of_retry)
        return await node.router.handle(
            caller_request.CallerRequest(
                request_id=request_id,
                method="GET",
                host=HOST,
                path=f"/{service}/x",
                headers=(),
                body=b"",
                deadline_ms=SERVICES[service].timeout_ms,
            )
        )

    def of_service(self, service):
        """Returns the targets of a service."""
        return [
            target
            for name, target in self.targets.items()
            if self.services[name].name == service
        ]

    def _fork(self):
        return random.Random(self.rng.getrandbits(64))


def _count_window(times_s, start_s):
    return bisect.bisect_left(times_s, start_s + WINDOW_S) - (
        bisect.bisect_left(times_s, start_s)
    )


async def _is_reachable():
    return True


def _now_s():
    return asyncio.get_running_loop().time()


def _settings(name, service, slack):
    return mesh_settings.MeshSettings(
        node_id=name,
        data_centre="dc",
        region="region",
        service=service.name,
        target_address="",
        caller_address="",
        control_address="",
        ready_address="",
        peer_address="127.0.0.1:0",
        metrics_address="",
        store_address="",
        bounds=fleet_bounds.FleetBounds(repeat_slack=slack),
    )


def _config():
    routes = tuple(
        host_route.HostRoute(
            name=service.name,
            host=HOST,
            path_prefix=f"/{service.name}/",
            services=(weighted_service.WeightedService(service.name, 1),),
            is_idempotent=True,
            timeout_ms=service.timeout_ms,
            target_latency_ms=service.timeout_ms // 2,
            priority=1,
            max_attempts=3,
        )
        for service in SERVICES.values()
    )
    return traffic_config.TrafficConfig(
        version=1,
        routes=routes,
        max_connections={},
        limits=caller_limits.CallerLimits(),
    )
