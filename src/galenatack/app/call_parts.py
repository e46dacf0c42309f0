"""Makes the parts that carry a call."""

import typing

from galenatack.app import base_parts
from galenatack.app import startup_handler
from galenatack.app import ticket_issuer
from galenatack.config import propagation
from galenatack.links import caller_app
from galenatack.moves import move_runner
from galenatack.moves import version_picker
from galenatack.moves import withdrawals
from galenatack.postings import placement
from galenatack.postings import posting_guard
from galenatack.postings import ticket_codec
from galenatack.routing import balancer
from galenatack.routing import byte_budget
from galenatack.routing import call_planner
from galenatack.routing import call_server
from galenatack.routing import inbound_gate
from galenatack.routing import outbound_proxy
from galenatack.routing import retry_budget
from galenatack.routing import snapshot_holder
from galenatack.routing import target_chooser
from galenatack.routing import target_histogram


class CallParts(typing.NamedTuple):
    """Parts that carry a call from the caller to the target."""

    holder: snapshot_holder.SnapshotHolder
    gate: inbound_gate.InboundGate
    outcomes: target_histogram.TargetHistogram
    guard: posting_guard.PostingGuard
    handler: startup_handler.StartupHandler
    caller_app: caller_app.CallerApp


def make(
    base: base_parts.BaseParts,
    propagator: propagation.Propagation,
    withdrawn: withdrawals.Withdrawals,
    runner: move_runner.MoveRunner,
    loads: balancer.Balancer,
) -> CallParts:
    """Makes the parts from the caller to the target."""
    tickets = ticket_codec.TicketCodec(
        ticket_key=base.settings.trust.ticket_key,
        clock=base.external.clock,
        rng=base.external.secret_rng,
    )
    guard = _make_guard(base, tickets)
    outcomes = target_histogram.TargetHistogram(
        on_outcome=runner.record_outcome
    )
    gate = _make_gate(base, guard, outcomes, runner)
    call_server.CallServer(peers=base.peers, gate=gate)
    holder = snapshot_holder.SnapshotHolder()
    picker = version_picker.VersionPicker(
        clock=base.external.clock, rng=base.external.rng, withdrawals=withdrawn
    )
    planner = call_planner.CallPlanner(
        holder=holder, clock=base.external.clock, bind_ticket=tickets.parse
    )
    proxy = _make_proxy(base, planner, picker, gate, loads)
    handler = startup_handler.StartupHandler(
        handler=proxy, propagation=propagator
    )
    issuer = ticket_issuer.TicketIssuer(
        holder=holder,
        balancer=loads,
        version_picker=picker.pick,
        tickets=tickets,
    )
    application = caller_app.CallerApp(
        handler=handler, issue_ticket=issuer.issue
    )
    return CallParts(holder, gate, outcomes, guard, handler, application)


def _make_guard(
    base: base_parts.BaseParts, tickets: ticket_codec.TicketCodec
) -> posting_guard.PostingGuard:
    own = base.members.own
    return posting_guard.PostingGuard(
        node_id=own.node_id,
        incarnation=own.boot_ms,
        tickets=tickets,
        table=base.external.table,
        peers=base.peers,
        clock=base.external.clock,
        rng=base.external.rng,
        events=base.events,
    )


def _make_gate(
    base: base_parts.BaseParts,
    guard: posting_guard.PostingGuard,
    outcomes: target_histogram.TargetHistogram,
    runner: move_runner.MoveRunner,
) -> inbound_gate.InboundGate:
    own = base.members.own
    return inbound_gate.InboundGate(
        node_id=own.node_id,
        incarnation=own.boot_ms,
        link=base.external.target,
        clock=base.external.clock,
        slots=base.settings.slots,
        queue_entries=base.settings.slots,
        posting_guard=guard,
        on_outcome=outcomes.record,
        is_withdrawn=runner.is_own_version_withdrawn,
    )


def _make_proxy(
    base: base_parts.BaseParts,
    planner: call_planner.CallPlanner,
    picker: version_picker.VersionPicker,
    gate: inbound_gate.InboundGate,
    loads: balancer.Balancer,
) -> outbound_proxy.OutboundProxy:
    region_bytes = byte_budget.ByteBudget(clock=base.external.clock)
    chooser = target_chooser.TargetChooser(
        balancer=loads,
        region_budget=region_bytes,
        version_picker=picker.pick,
        place=placement.place,
    )
    return outbound_proxy.OutboundProxy(
        node_id=base.members.own.node_id,
        planner=planner,
        chooser=chooser,
        balancer=loads,
        region_budget=region_bytes,
        retries=retry_budget.RetryBudget(),
        peers=base.peers,
        gate=gate,
        clock=base.external.clock,
        rng=base.external.rng,
    )
