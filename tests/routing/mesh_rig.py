"""Several nodes with gates, proxies and targets on a memory network."""

import random

import anyio.abc

from galenatack.model import limits
from galenatack.model import member_record
from galenatack.model import move_policy
from galenatack.model import pool
from galenatack.model import profile
from galenatack.model import retry_policy
from galenatack.model import route
from galenatack.model import service_choice
from galenatack.routing import balancer
from galenatack.routing import builder
from galenatack.routing import byte_budget
from galenatack.routing import call_planner
from galenatack.routing import call_server
from galenatack.routing import inbound_gate
from galenatack.routing import outbound_proxy
from galenatack.routing import retry_budget
from galenatack.routing import snapshot_holder
from galenatack.routing import target_chooser
from tests.fakes import memory_guard
from tests.fakes import memory_network
from tests.fakes import scripted_target
from tests.fakes import virtual_clock

SLOTS = 4
SERVICE = "prices"

ROUTES = (
    route.Route("read", "/", ("GET",), "main", "two"),
    route.Route("offers", "/offers", ("POST",), "main", "two", posting=True),
)


def prices_profile(**changes) -> profile.Profile:
    """Returns a small profile with one read and one posting route."""
    base = profile.Profile(
        name="normal",
        service=SERVICE,
        versions=("v1", "v2"),
        pools=(pool.Pool("main", "current"),),
        retry_policies=(retry_policy.RetryPolicy("two"),),
        routes=ROUTES,
        limits=limits.Limits(queue_entries=SLOTS, slow_start_ms=0),
        move_policy=move_policy.MovePolicy(),
    )
    return base._replace(**changes)


CHOICE = service_choice.ServiceChoice(SERVICE, "normal", "v1")


def record(node_id: str, **changes) -> member_record.MemberRecord:
    """Returns the record of a serving node."""
    base = member_record.MemberRecord(
        node_id=node_id,
        incarnation=1,
        status="serving",
        data_centre="a",
        region="r",
        service=SERVICE,
        version="v1",
        peer_address="127.0.0.1:1",
        call_address="127.0.0.1:2",
        admin_address="127.0.0.1:3",
        slots=SLOTS,
    )
    return base._replace(**changes)


class RigNode:
    """One node of the rig.

    Attributes:
        outcomes: Outcomes that the gate reported, as (route, is_error).
    """

    def __init__(self, rig: "MeshRig", node_id: str, seed: int):
        clock = rig.clock
        rng = random.Random(seed)
        self.node_id = node_id
        self.outcomes: list[tuple[str, bool]] = []
        self.target = scripted_target.ScriptedTarget(latency_s=0.05)
        self.peers = rig.network.join(node_id)
        self.holder = snapshot_holder.SnapshotHolder()
        self.gate = inbound_gate.InboundGate(
            node_id=node_id,
            incarnation=1,
            link=self.target,
            clock=clock,
            slots=SLOTS,
            queue_entries=SLOTS,
            posting_guard=rig.guard,
            on_outcome=lambda route, is_error, latency_ms, is_warm: (
                self.outcomes.append((route, is_error))
            ),
        )
        call_server.CallServer(peers=self.peers, gate=self.gate)
        self.balancer = balancer.Balancer(clock=clock, rng=rng)
        self.proxy = self._proxy(rig, rng)

    def _proxy(
        self, rig: "MeshRig", rng: random.Random
    ) -> outbound_proxy.OutboundProxy:
        clock = rig.clock
        region_budget = byte_budget.ByteBudget(clock=clock)
        return outbound_proxy.OutboundProxy(
            node_id=self.node_id,
            planner=call_planner.CallPlanner(
                holder=self.holder, clock=clock, bind_ticket=rig.tickets.get
            ),
            chooser=target_chooser.TargetChooser(
                balancer=self.balancer,
                region_budget=region_budget,
                version_picker=lambda move, counts, route="": move.to_version,
                place=lambda key, node_ids: min(node_ids),
            ),
            balancer=self.balancer,
            region_budget=region_budget,
            retries=retry_budget.RetryBudget(),
            peers=self.peers,
            gate=self.gate,
            clock=clock,
            rng=rng,
        )


class MeshRig:
    """Nodes `n0`, `n1`, ... of one data centre.

    Attributes:
        guard: Posting guard of all nodes, in place of the claim rows.
        tickets: Ticket binding by key.
    """

    def __init__(self, tasks: anyio.abc.TaskGroup, *, nodes: int, seed: int):
        self.clock = virtual_clock.VirtualClock()
        self.guard = memory_guard.MemoryGuard()
        self.tickets = {}
        self.network = memory_network.MemoryNetwork(
            tasks, rng=random.Random(seed)
        )
        self.nodes = [
            RigNode(self, f"n{number}", seed + number)
            for number in range(nodes)
        ]
        self.members = [record(node.node_id) for node in self.nodes]
        self.swap()

    def swap(self, **profile_changes) -> None:
        """Puts a snapshot of the current members in force on all nodes."""
        for node, own in zip(self.nodes, self.members, strict=True):
            node.holder.swap(
                builder.build(
                    profiles=[prices_profile(**profile_changes)],
                    choices=[CHOICE],
                    moves=[],
                    members=self.members,
                    withdrawn=(),
                    own=own,
                )
            )

    async def read(self, node: int = 0, path: str = "/x", deadline_ms=1000):
        """Sends a read through a node and returns its result."""
        return await self.nodes[node].proxy.handle(
            method="GET",
            path=f"/{SERVICE}{path}",
            headers=(("galenatack-deadline-ms", str(deadline_ms)),),
            body=b"",
        )

    async def post(self, key: str, node: int = 0, deadline_ms=1000):
        """Sends a posting through a node and returns its result."""
        return await self.nodes[node].proxy.handle(
            method="POST",
            path=f"/{SERVICE}/offers",
            headers=(
                ("galenatack-deadline-ms", str(deadline_ms)),
                ("idempotency-key", key),
            ),
            body=key.encode(),
        )

    def started(self) -> list:
        """Returns all requests that started at any target."""
        return [
            request for node in self.nodes for request in node.target.started
        ]
