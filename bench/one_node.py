"""The data path of a single node, for benchmarks."""

import random
import typing

from galenatack.app import system_clock
from galenatack.interfaces import target_link as target_link_interface
from galenatack.links import caller_app
from galenatack.links import target_link
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
from galenatack.routing import inbound_gate
from galenatack.routing import outbound_proxy
from galenatack.routing import retry_budget
from galenatack.routing import snapshot_holder
from galenatack.routing import target_chooser

SERVICE = "prices"
_SLOTS = 18


class _PlainGuard:
    """Dispatches every posting, as the benchmark sends each key once."""

    async def run_once(self, request, dispatch):
        """Dispatches the request."""
        del request
        return await dispatch()


class _NoPeers:
    """A peer network without peers."""

    def on(self, message_type, handler) -> None:
        """Does nothing."""


def own_record() -> member_record.MemberRecord:
    """Returns the record of the only node."""
    return member_record.MemberRecord(
        node_id="n0",
        incarnation=1,
        status="serving",
        data_centre="a",
        region="r",
        service=SERVICE,
        version="v1",
        peer_address="",
        call_address="",
        admin_address="",
        slots=_SLOTS,
    )


def bench_profile() -> profile.Profile:
    """Returns a profile with a read and a posting route."""
    return profile.Profile(
        name="bench",
        service=SERVICE,
        versions=("v1",),
        pools=(pool.Pool("main", "current"),),
        retry_policies=(retry_policy.RetryPolicy("two"),),
        routes=(
            route.Route("read", "/", ("GET",), "main", "two"),
            route.Route(
                "offers", "/offers", ("POST",), "main", "two", posting=True
            ),
        ),
        limits=limits.Limits(queue_entries=_SLOTS),
        move_policy=move_policy.MovePolicy(),
    )


class NodeParts(typing.NamedTuple):
    """The components on the path of a call through one node."""

    planner: call_planner.CallPlanner
    chooser: target_chooser.TargetChooser
    gate: inbound_gate.InboundGate
    proxy: outbound_proxy.OutboundProxy


def make_parts(link: target_link_interface.TargetLink) -> NodeParts:
    """Builds a node without peers in front of one target."""
    clock = system_clock.SystemClock()
    rng = random.Random(1)
    loads = balancer.Balancer(clock=clock, rng=rng)
    region_budget = byte_budget.ByteBudget(clock=clock)
    gate = inbound_gate.InboundGate(
        node_id=own_record().node_id,
        incarnation=1,
        link=link,
        clock=clock,
        slots=_SLOTS,
        queue_entries=_SLOTS,
        posting_guard=_PlainGuard(),
        on_outcome=lambda route, is_error, latency_ms, is_warm: None,
    )
    planner = call_planner.CallPlanner(holder=_holder(), clock=clock)
    chooser = target_chooser.TargetChooser(
        balancer=loads,
        region_budget=region_budget,
        version_picker=lambda move, counts, route="": move.from_version,
        place=lambda key, node_ids: min(node_ids),
    )
    proxy = outbound_proxy.OutboundProxy(
        node_id=own_record().node_id,
        planner=planner,
        chooser=chooser,
        balancer=loads,
        region_budget=region_budget,
        retries=retry_budget.RetryBudget(),
        peers=_NoPeers(),
        gate=gate,
        clock=clock,
        rng=rng,
    )
    return NodeParts(planner, chooser, gate, proxy)


def compose(target_url: str) -> caller_app.CallerApp:
    """Builds the caller side of a node in front of one target."""
    link = target_link.HttpTargetLink(base_url=target_url)
    return caller_app.CallerApp(handler=make_parts(link).proxy)


def _holder() -> snapshot_holder.SnapshotHolder:
    own = own_record()
    holder = snapshot_holder.SnapshotHolder()
    holder.swap(
        builder.build(
            profiles=[bench_profile()],
            choices=[service_choice.ServiceChoice(SERVICE, "bench", "v1")],
            moves=[],
            members=[own],
            withdrawn=(),
            own=own,
        )
    )
    return holder
