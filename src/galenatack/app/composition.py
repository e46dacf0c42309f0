"""The composition root: makes the parts of a node and wires them."""

import random
import secrets
import typing

from galenatack.app import node_callbacks
from galenatack.app import parts
from galenatack.app import settled_handler
from galenatack.app import system_clock
from galenatack.app import ticket_issuer
from galenatack.config import acceptor
from galenatack.config import log_state
from galenatack.config import platform_log
from galenatack.config import propagation
from galenatack.config import reader
from galenatack.config import runnable
from galenatack.config import state_rebuild
from galenatack.invariants import reaction
from galenatack.links import caller_side
from galenatack.links import fault_injector
from galenatack.links import peer_network
from galenatack.links import platform_client
from galenatack.links import platform_objects
from galenatack.links import platform_table
from galenatack.links import target_link
from galenatack.links import tls
from galenatack.membership import member_table
from galenatack.membership import membership_service
from galenatack.model import member_record
from galenatack.model import member_status
from galenatack.moves import move_runner
from galenatack.moves import move_service
from galenatack.moves import version_picker
from galenatack.moves import withdrawals
from galenatack.postings import claim_cleanup
from galenatack.postings import placement
from galenatack.postings import posting_guard
from galenatack.postings import tickets
from galenatack.routing import balancer
from galenatack.routing import byte_budget
from galenatack.routing import call_planner
from galenatack.routing import call_server
from galenatack.routing import inbound_gate
from galenatack.routing import outbound_proxy
from galenatack.routing import retry_budget
from galenatack.routing import snapshot_holder
from galenatack.routing import snapshot_updater
from galenatack.routing import target_chooser
from galenatack.settings import node_settings
from galenatack.timeline import hybrid_clock
from galenatack.timeline import recorder

SEED_BITS = 64


class _Base(typing.NamedTuple):
    """Parts that most others need."""

    settings: node_settings.NodeSettings
    clock: system_clock.SystemClock
    rng: random.Random
    events: recorder.Recorder
    hlc: hybrid_clock.HybridClock
    members: member_table.MemberTable
    peer_tls: tls.PeerTls
    faults: fault_injector.FaultInjector
    peers: peer_network.WebsocketPeers
    callbacks: node_callbacks.NodeCallbacks


class _Config(typing.NamedTuple):
    """Parts of the configuration path."""

    platform: platform_client.PlatformClient
    table: platform_table.PlatformTable
    state: log_state.LogState
    propagation: propagation.Propagation
    reader: reader.PlatformReader
    rebuild: state_rebuild.StateRebuild
    acceptor: acceptor.Acceptor


class _Calls(typing.NamedTuple):
    """Parts of the path of a call."""

    holder: snapshot_holder.SnapshotHolder
    target: target_link.HttpTargetLink
    gate: inbound_gate.InboundGate
    guard: posting_guard.PostingGuard
    caller_side: caller_side.CallerSide


def compose(settings: node_settings.NodeSettings) -> parts.Parts:
    """Makes and wires all parts of a node.

    Raises:
        exceptions.SettingsError: A certificate file cannot be used.
    """
    reaction.set_mode(settings.invariants)
    base = _base(settings)
    config = _config(base)
    moved_away = withdrawals.Withdrawals(
        clock=base.clock, peers=base.peers, events=base.events
    )
    runner = move_runner.MoveRunner(
        members=base.members,
        lease_table=config.table,
        writer=config.acceptor,
        withdrawals=moved_away,
        peers=base.peers,
        clock=base.clock,
        events=base.events,
    )
    loads = balancer.Balancer(clock=base.clock, rng=base.rng)
    calls = _calls(base, config, moved_away, runner, loads)
    updater = snapshot_updater.SnapshotUpdater(
        running=config.state.running,
        table=base.members,
        withdrawals=moved_away,
        holder=calls.holder,
        clock=base.clock,
        events=base.events,
        keep_loads=loads.forget,
    )
    membership = membership_service.MembershipService(
        table=base.members,
        peers=base.peers,
        clock=base.clock,
        rng=base.rng,
        events=base.events,
        on_heartbeat=base.callbacks.on_heartbeat,
    )
    base.peers.on_lost(membership.link_lost)
    base.callbacks.connect(
        hlc=base.hlc,
        members=base.members,
        peers=base.peers,
        state=config.state,
        propagation=config.propagation,
        updater=updater,
        move_runner=runner,
        withdrawals=moved_away,
        events=base.events,
    )
    return parts.Parts(
        settings=settings,
        clock=base.clock,
        events=base.events,
        members=base.members,
        peers=base.peers,
        peer_tls=base.peer_tls,
        faults=base.faults,
        membership=membership,
        moves=move_service.MoveService(
            writer=config.acceptor, clock=base.clock, rng=base.rng
        ),
        move_runner=runner,
        withdrawals=moved_away,
        updater=updater,
        claim_cleanup=claim_cleanup.ClaimCleanup(
            table=config.table,
            clock=base.clock,
            events=base.events,
            is_holder=base.callbacks.is_cleaner,
        ),
        **config._asdict(),
        **calls._asdict(),
    )


def _base(settings: node_settings.NodeSettings) -> _Base:
    clock = system_clock.SystemClock()
    rng = random.Random(secrets.randbits(SEED_BITS))
    boot_ms = clock.wall_ms()
    hlc = hybrid_clock.HybridClock(clock=clock)
    events = recorder.Recorder(
        node_id=settings.node_id, incarnation=boot_ms, hlc=hlc
    )
    members = member_table.MemberTable(
        own=_own_record(settings, boot_ms), clock=clock
    )
    faults = fault_injector.FaultInjector(
        enabled=settings.fault_injection,
        own_region=settings.region,
        region_delay_ms=settings.region_delay_ms,
    )
    callbacks = node_callbacks.NodeCallbacks(clock=clock)
    peer_tls = tls.PeerTls(trust=settings.trust)
    peers = peer_network.WebsocketPeers(
        deployment=settings.deployment,
        listen_address=settings.peer_address,
        seeds=settings.seeds,
        table=members,
        clock=clock,
        rng=rng,
        heartbeat_source=callbacks.heartbeat,
        peer_tls=peer_tls,
        faults=faults,
    )
    return _Base(
        settings,
        clock,
        rng,
        events,
        hlc,
        members,
        peer_tls,
        faults,
        peers,
        callbacks,
    )


def _own_record(
    settings: node_settings.NodeSettings, boot_ms: int
) -> member_record.MemberRecord:
    return member_record.MemberRecord(
        node_id=settings.node_id,
        incarnation=boot_ms,
        status=member_status.MemberStatus.JOINING.value,
        data_centre=settings.data_centre,
        region=settings.region,
        service=settings.service,
        version=settings.version,
        peer_address=settings.peer_address,
        call_address=settings.call_address,
        admin_address=settings.admin_address,
        slots=settings.slots,
        boot_ms=boot_ms,
    )


def _config(base: _Base) -> _Config:
    client = platform_client.PlatformClient(base_url=base.settings.platform_url)
    table = platform_table.PlatformTable(client=client)
    objects = platform_objects.PlatformObjects(client=client)
    node_id = base.settings.node_id
    state = log_state.LogState(node_id=node_id, can_run=runnable.reason_against)
    spread = propagation.Propagation(
        node_id=node_id,
        state=state,
        peers=base.peers,
        clock=base.clock,
        rng=base.rng,
        events=base.events,
        live=base.callbacks.live_in_data_centre,
        on_running=base.callbacks.on_running,
        on_rejection=base.callbacks.on_rejection,
    )
    log = platform_log.PlatformLog(table=table, objects=objects, state=state)
    return _Config(
        platform=client,
        table=table,
        state=state,
        propagation=spread,
        reader=reader.PlatformReader(
            log=log,
            propagation=spread,
            is_reader=base.callbacks.is_reader,
            clock=base.clock,
            rng=base.rng,
            events=base.events,
        ),
        rebuild=state_rebuild.StateRebuild(
            node_id=node_id,
            propagation=spread,
            log=log,
            peers=base.peers,
            live=base.callbacks.live_in_data_centre,
            is_reader=base.callbacks.is_rebuild_reader,
            clock=base.clock,
            rng=base.rng,
        ),
        acceptor=acceptor.Acceptor(
            table=table,
            objects=objects,
            clock=base.clock,
            rng=base.rng,
            events=base.events,
            offer=spread.offer,
        ),
    )


def _calls(
    base: _Base,
    config: _Config,
    moved_away: withdrawals.Withdrawals,
    runner: move_runner.MoveRunner,
    loads: balancer.Balancer,
) -> _Calls:
    settings = base.settings
    own = base.members.own
    ticket_book = tickets.Tickets(
        ticket_key=settings.trust.ticket_key,
        clock=base.clock,
        rng=random.SystemRandom(),
    )
    guard = posting_guard.PostingGuard(
        node_id=own.node_id,
        incarnation=own.boot_ms,
        tickets=ticket_book,
        table=config.table,
        peers=base.peers,
        clock=base.clock,
        rng=base.rng,
        events=base.events,
    )
    target = target_link.HttpTargetLink(base_url=settings.target_url)
    gate = inbound_gate.InboundGate(
        node_id=own.node_id,
        incarnation=own.boot_ms,
        link=target,
        clock=base.clock,
        slots=settings.slots,
        queue_entries=settings.slots,
        posting_guard=guard,
        on_outcome=runner.record_outcome,
        is_withdrawn=runner.is_own_version_withdrawn,
    )
    call_server.CallServer(peers=base.peers, gate=gate)
    holder = snapshot_holder.SnapshotHolder()
    region_bytes = byte_budget.ByteBudget(clock=base.clock)
    picker = version_picker.VersionPicker(
        clock=base.clock, rng=base.rng, withdrawals=moved_away
    )
    chooser = target_chooser.TargetChooser(
        balancer=loads,
        bytes_left=region_bytes,
        version_picker=picker.pick,
        place=placement.place,
    )
    proxy = outbound_proxy.OutboundProxy(
        node_id=own.node_id,
        planner=call_planner.CallPlanner(
            holder=holder, clock=base.clock, ticket_of=ticket_book.parse
        ),
        chooser=chooser,
        balancer=loads,
        bytes_left=region_bytes,
        retries=retry_budget.RetryBudget(),
        peers=base.peers,
        gate=gate,
        clock=base.clock,
        rng=base.rng,
    )
    handler = settled_handler.SettledHandler(
        handler=proxy, propagation=config.propagation
    )
    issuer = ticket_issuer.TicketIssuer(
        holder=holder,
        balancer=loads,
        version_picker=picker.pick,
        tickets=ticket_book,
    )
    side = caller_side.CallerSide(handler=handler, issue_ticket=issuer.issue)
    return _Calls(holder, target, gate, guard, side)
