"""The composition root of a node that runs on a shared platform."""

import random
import secrets
import typing

from galenatack.app import mesh_callbacks
from galenatack.app import mesh_parts
from galenatack.app import system_clock
from galenatack.config import row_exchange
from galenatack.config import row_mirror
from galenatack.config import table_watcher
from galenatack.interfaces import clock as clock_interface
from galenatack.interfaces import random_source
from galenatack.interfaces import shared_table
from galenatack.links import peer_network
from galenatack.links import pipelined_server
from galenatack.links import tls
from galenatack.links import translated_target
from galenatack.membership import discovery
from galenatack.membership import member_table
from galenatack.membership import membership_service
from galenatack.model import member_record
from galenatack.model import member_status
from galenatack.moves import withdrawals
from galenatack.platform import caller_dialect
from galenatack.platform import config_document
from galenatack.platform import control_dialect
from galenatack.platform import rollout_rows
from galenatack.platform import store_table
from galenatack.platform import target_headers
from galenatack.rollouts import evidence_pool
from galenatack.rollouts import rollout_book
from galenatack.rollouts import rollout_driver
from galenatack.rollouts import trial_share
from galenatack.rollouts import version_chooser
from galenatack.settings import mesh_settings
from galenatack.settings import trust_settings
from galenatack.timeline import hybrid_clock
from galenatack.timeline import recorder
from galenatack.traffic import admission_queue
from galenatack.traffic import attempt_budget
from galenatack.traffic import call_desk
from galenatack.traffic import call_notes
from galenatack.traffic import call_router
from galenatack.traffic import call_sender
from galenatack.traffic import call_stats
from galenatack.traffic import config_holder
from galenatack.traffic import link_warmer
from galenatack.traffic import request_log
from galenatack.traffic import service_times
from galenatack.traffic import target_directory
from galenatack.traffic import target_gate
from galenatack.traffic import target_placement
from galenatack.traffic import target_registry

DEPLOYMENT = "mesh"
SEED_BITS = 64
MS_PER_S = 1000
EVENTS_KEPT = 512
"""Events of the time line that a node keeps; about 0.3 MB."""

TARGET_CONNECTIONS = 100
"""Below the least bound that a deployment sets for one target; the gate's
slots keep the number far lower."""

CONFIG_PACE_SHARE = 0.2
"""Part of the time in which a configuration must be in force that a node waits
after a change: versions in quick succession cross the link between regions
once."""

TRIAL_SHARE_OF_BOUND = 0.55
"""Part of the allowed share that a version on trial gets; the rest is left for
the moment in which all calls move over."""


class _Base(typing.NamedTuple):
    """Parts that most others need."""

    settings: mesh_settings.MeshSettings
    clock: clock_interface.Clock
    rng: random_source.RandomSource
    hlc: hybrid_clock.HybridClock
    events: recorder.Recorder
    members: member_table.MemberTable
    peers: peer_network.WebsocketPeers
    log: request_log.RequestLog
    stats: call_stats.CallStats
    callbacks: mesh_callbacks.MeshCallbacks


class _Rollouts(typing.NamedTuple):
    """Parts that move services to versions."""

    book: rollout_book.RolloutBook
    pool: evidence_pool.EvidencePool
    withdrawn: withdrawals.Withdrawals
    versions: version_chooser.VersionChooser


class _Inbound(typing.NamedTuple):
    """Parts around the own target."""

    registry: target_registry.TargetRegistry
    target: translated_target.TranslatedTarget
    gate: target_gate.TargetGate


class _Outbound(typing.NamedTuple):
    """Parts between callers and targets."""

    config: config_holder.ConfigHolder
    budget: attempt_budget.AttemptBudget
    placement: target_placement.TargetPlacement
    router: call_router.CallRouter


def compose(settings: mesh_settings.MeshSettings) -> mesh_parts.MeshParts:
    """Makes and wires all parts on the real outside."""
    return wire(
        settings,
        clock=system_clock.SystemClock(),
        rng=random.Random(secrets.randbits(SEED_BITS)),
        store=store_table.StoreTable(address=settings.store_address),
    )


def wire(
    settings: mesh_settings.MeshSettings,
    *,
    clock: clock_interface.Clock,
    rng: random_source.RandomSource,
    store: shared_table.SharedTable,
) -> mesh_parts.MeshParts:
    """Makes and wires all parts.

    Args:
        settings: Settings of the node.
        clock: Source of time.
        rng: Source of randomness.
        store: The shared tables.
    """
    base = _make_base(settings, clock, rng)
    directory = target_directory.TargetDirectory(members=base.members)
    rollouts = _make_rollouts(base)
    inbound = _make_inbound(base, rollouts)
    outbound = _make_outbound(base, directory, rollouts, inbound)
    mirror = row_mirror.RowMirror(
        tables=(config_document.TABLE, rollout_rows.PROGRESS_TABLE)
    )
    watchers = _make_watchers(base, store, mirror)
    membership = membership_service.MembershipService(
        table=base.members,
        peers=base.peers,
        clock=clock,
        rng=rng,
        events=base.events,
        on_heartbeat=base.callbacks.on_heartbeat,
    )
    base.peers.on_lost(membership.link_lost)
    servers = _make_servers(base, inbound, outbound)
    base.callbacks.connect(
        mesh_callbacks.Connected(
            members=base.members,
            hlc=base.hlc,
            mirror=mirror,
            exchange=row_exchange.RowExchange(
                mirror=mirror,
                peers=base.peers,
                on_behind=base.callbacks.on_behind,
                is_store_healthy=base.callbacks.is_store_healthy,
                is_near=base.callbacks.is_near,
                clock=clock,
            ),
            watchers=watchers,
            config=outbound.config,
            rollouts=rollouts.book,
            registry=inbound.registry,
            gate=inbound.gate,
            budget=outbound.budget,
            placement=outbound.placement,
            limits=servers[0].limits,
        )
    )
    mirror.subscribe(base.callbacks.rows_changed)
    base.members.subscribe(base.callbacks.members_changed)
    return mesh_parts.MeshParts(
        settings=settings,
        clock=clock,
        events=base.events,
        members=base.members,
        membership=membership,
        peers=base.peers,
        discovery=discovery.Discovery(
            table=store, members=base.members, clock=clock, rng=rng
        ),
        mirror=mirror,
        watchers=watchers,
        config=outbound.config,
        rollouts=rollouts.book,
        driver=_make_driver(base, store, directory, rollouts),
        registry=inbound.registry,
        gate=inbound.gate,
        router=outbound.router,
        budget=outbound.budget,
        placement=outbound.placement,
        warmer=link_warmer.LinkWarmer(
            members=base.members,
            peers=base.peers,
            placement=outbound.placement,
            clock=clock,
            rng=rng,
        ),
        log=base.log,
        stats=base.stats,
        callers=servers[0],
        control=servers[1],
        ready=servers[2],
        target=inbound.target,
        store=store,
    )


def _make_base(
    settings: mesh_settings.MeshSettings,
    clock: clock_interface.Clock,
    rng: random_source.RandomSource,
) -> _Base:
    own = _own_record(settings, clock.wall_ms())
    hlc = hybrid_clock.HybridClock(clock=clock)
    members = member_table.MemberTable(own=own, clock=clock)
    callbacks = mesh_callbacks.MeshCallbacks()
    trust = trust_settings.TrustSettings(mode=tls.MODE_NONE, ticket_key="")
    return _Base(
        settings=settings,
        clock=clock,
        rng=rng,
        hlc=hlc,
        events=recorder.Recorder(
            node_id=own.node_id,
            incarnation=own.boot_ms,
            hlc=hlc,
            capacity=EVENTS_KEPT,
        ),
        members=members,
        peers=peer_network.WebsocketPeers(
            deployment=DEPLOYMENT,
            listen_address=settings.peer_address,
            seeds=(),
            table=members,
            clock=clock,
            rng=rng,
            heartbeat_source=callbacks.own_heartbeat,
            peer_tls=tls.PeerTls(trust=trust),
        ),
        log=request_log.RequestLog(clock=clock),
        stats=call_stats.CallStats(),
        callbacks=callbacks,
    )


def _own_record(
    settings: mesh_settings.MeshSettings, boot_ms: int
) -> member_record.MemberRecord:
    return member_record.MemberRecord(
        node_id=settings.node_id,
        incarnation=boot_ms,
        status=member_status.MemberStatus.JOINING.value,
        data_centre=settings.data_centre,
        region=settings.region,
        service=settings.service,
        version="",
        peer_address=settings.peer_address,
        call_address=settings.caller_address,
        admin_address="",
        slots=0,
        boot_ms=boot_ms,
    )


def _make_rollouts(base: _Base) -> _Rollouts:
    withdrawn = withdrawals.Withdrawals(
        clock=base.clock, peers=base.peers, events=base.events
    )
    book = rollout_book.RolloutBook(clock=base.clock, withdrawn=withdrawn)
    bound = base.settings.bounds.trial_share
    return _Rollouts(
        book=book,
        pool=evidence_pool.EvidencePool(
            members=base.members, peers=base.peers, book=book
        ),
        withdrawn=withdrawn,
        versions=version_chooser.VersionChooser(
            book=book,
            share=trial_share.TrialShare(
                trial_share=bound * TRIAL_SHARE_OF_BOUND
            ),
            clock=base.clock,
        ),
    )


def _make_inbound(base: _Base, rollouts: _Rollouts) -> _Inbound:
    registry = target_registry.TargetRegistry(
        service=base.settings.service,
        clock=base.clock,
        on_changed=base.callbacks.target_changed,
    )
    target = translated_target.TranslatedTarget(
        address=base.settings.target_address,
        dialect=target_headers.TargetHeaders(),
        max_connections=TARGET_CONNECTIONS,
    )
    times = service_times.ServiceTimes()
    gate = target_gate.TargetGate(
        registry=registry,
        queue=admission_queue.AdmissionQueue(
            clock=base.clock, rng=base.rng, times=times
        ),
        times=times,
        link=target,
        clock=base.clock,
        log=base.log,
        stats=base.stats,
        is_withdrawn=rollouts.book.is_withdrawn,
        on_outcome=rollouts.pool.record,
    )
    call_desk.CallDesk(peers=base.peers, gate=gate)
    return _Inbound(registry, target, gate)


def _make_outbound(
    base: _Base,
    directory: target_directory.TargetDirectory,
    rollouts: _Rollouts,
    inbound: _Inbound,
) -> _Outbound:
    bounds = base.settings.bounds
    config = config_holder.ConfigHolder()
    budget = attempt_budget.AttemptBudget(
        clock=base.clock,
        window_s=bounds.repeat_window_ms / MS_PER_S,
        slack=bounds.repeat_slack,
    )
    placement = target_placement.TargetPlacement(
        own=base.members.own,
        clock=base.clock,
        rng=base.rng,
        is_connected=base.peers.is_connected,
    )
    router = call_router.CallRouter(
        config=config,
        directory=directory,
        versions=rollouts.versions,
        placement=placement,
        budget=budget,
        sender=call_sender.CallSender(
            own=base.members.own,
            peers=base.peers,
            gate=inbound.gate,
            clock=base.clock,
            rng=base.rng,
        ),
        clock=base.clock,
        notes=call_notes.CallNotes(
            config=config,
            placement=placement,
            budget=budget,
            clock=base.clock,
            log=base.log,
            stats=base.stats,
        ),
    )
    return _Outbound(config, budget, placement, router)


def _make_watchers(
    base: _Base,
    store: shared_table.SharedTable,
    mirror: row_mirror.RowMirror,
) -> tuple[table_watcher.TableWatcher, ...]:
    return tuple(
        table_watcher.TableWatcher(
            name=name,
            table=store,
            mirror=mirror,
            clock=base.clock,
            rng=base.rng,
            pace_s=pace_s,
        )
        for name, pace_s in (
            (
                config_document.TABLE,
                base.settings.bounds.config_ms * CONFIG_PACE_SHARE / MS_PER_S,
            ),
            (rollout_rows.PROGRESS_TABLE, 0.0),
        )
    )


def _make_driver(
    base: _Base,
    store: shared_table.SharedTable,
    directory: target_directory.TargetDirectory,
    rollouts: _Rollouts,
) -> rollout_driver.RolloutDriver:
    return rollout_driver.RolloutDriver(
        node_id=base.settings.node_id,
        book=rollouts.book,
        pool=rollouts.pool,
        withdrawn=rollouts.withdrawn,
        journal=rollout_rows.RolloutRows(table=store),
        targets=directory,
        clock=base.clock,
    )


def _make_servers(
    base: _Base, inbound: _Inbound, outbound: _Outbound
) -> tuple[pipelined_server.PipelinedServer, ...]:
    settings = base.settings
    callers = caller_dialect.CallerDialect(handle=outbound.router.handle)
    control = control_dialect.ControlDialect(
        registry=inbound.registry,
        is_ready=lambda: (
            outbound.config.table is not None
            and base.members.own.status
            == member_status.MemberStatus.SERVING.value
        ),
    )
    return (
        pipelined_server.PipelinedServer(
            address=settings.caller_address, respond=callers.respond
        ),
        pipelined_server.PipelinedServer(
            address=settings.control_address, respond=control.respond
        ),
        pipelined_server.PipelinedServer(
            address=settings.ready_address, respond=control.respond_ready
        ),
    )
