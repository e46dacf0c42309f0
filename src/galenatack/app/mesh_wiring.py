"""The composition root of a node that runs on a shared platform."""

import random
import secrets
import typing

from galenatack.admission import target_departures
from galenatack.app import mesh_base
from galenatack.app import mesh_callbacks
from galenatack.app import mesh_inbound
from galenatack.app import mesh_outbound
from galenatack.app import mesh_parts
from galenatack.app import mesh_quarantine
from galenatack.app import mesh_rollouts
from galenatack.app import mesh_store
from galenatack.app import mesh_tenants
from galenatack.app import system_clock
from galenatack.config import instrumented_table
from galenatack.interfaces import clock as clock_interface
from galenatack.interfaces import random_source
from galenatack.interfaces import shared_table
from galenatack.links import connection_limits
from galenatack.links import pipelined_server
from galenatack.membership import membership_service
from galenatack.membership import neighbour_sync
from galenatack.membership import record_confirmation
from galenatack.model import member_status
from galenatack.platform import caller_dialect
from galenatack.platform import control_dialect
from galenatack.platform import store_table
from galenatack.settings import mesh_settings
from galenatack.traffic import link_warmer
from galenatack.traffic import target_directory
from galenatack.warmup import announced_warmth

SEED_BITS = 64


def compose(settings: mesh_settings.MeshSettings) -> mesh_parts.MeshParts:
    """Makes and wires all parts with the real external dependencies."""
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
    base = mesh_base.make(settings, clock, rng)
    directory = target_directory.TargetDirectory(members=base.members)
    rollouts = mesh_rollouts.make(base)
    instrumented = instrumented_table.InstrumentedTable(table=store)
    quarantine = mesh_quarantine.make(base, instrumented)
    inbound = mesh_inbound.make(base, rollouts, quarantine)
    tenants = mesh_tenants.make(base)
    outbound = mesh_outbound.make(
        base, directory, rollouts, quarantine, inbound, tenants
    )
    shared = mesh_store.make(base, instrumented, tenants)
    membership = _make_membership(base)
    servers = _make_servers(base, inbound, outbound, membership)
    _connect(
        base,
        instrumented,
        shared,
        rollouts,
        quarantine,
        inbound,
        outbound,
        servers,
    )
    return mesh_parts.MeshParts(
        settings=settings,
        clock=clock,
        events=base.events,
        members=base.members,
        membership=membership,
        peers=base.peers,
        discovery=shared.discovery,
        mirror=shared.mirror,
        watchers=shared.watchers,
        election=shared.election,
        config=outbound.config,
        rollouts=rollouts.registry,
        withdrawn=rollouts.withdrawn,
        crashes=quarantine.ledger,
        crash_archive=quarantine.archive,
        driver=mesh_rollouts.make_driver(
            base, instrumented, directory, rollouts
        ),
        registry=inbound.registry,
        gate=inbound.gate,
        bodies=inbound.bodies,
        router=outbound.router,
        budget=outbound.budget,
        slack=inbound.slack,
        shutdown=outbound.shutdown,
        placement=outbound.placement,
        estimates=outbound.estimates,
        work=inbound.work,
        warmer=_make_warmer(base, outbound),
        account=base.account,
        log=base.log,
        stats=base.stats,
        callers=servers.callers,
        control=servers.control,
        ready=servers.ready,
        target=inbound.target,
        store=instrumented,
        warmup=inbound.warmup,
        evacuations=base.evacuations,
        tenants=tenants,
    )


class _Servers(typing.NamedTuple):
    """Listeners of a node, except the one for peers."""

    callers: pipelined_server.PipelinedServer
    control: pipelined_server.PipelinedServer
    ready: pipelined_server.PipelinedServer


def _connect(
    base: mesh_base.MeshBase,
    store: shared_table.SharedTable,
    shared: mesh_store.MeshStore,
    rollouts: mesh_rollouts.MeshRollouts,
    quarantine: mesh_quarantine.MeshQuarantine,
    inbound: mesh_inbound.MeshInbound,
    outbound: mesh_outbound.MeshOutbound,
    servers: _Servers,
) -> None:
    syncs = (
        neighbour_sync.NeighbourSync(
            messages=rollouts.withdrawn.all, peers=base.peers
        ),
        quarantine.sync,
    )
    base.callbacks.connect(
        mesh_callbacks.CallbackParts(
            members=base.members,
            hlc=base.hlc,
            mirror=shared.mirror,
            exchange=shared.exchange,
            store=store,
            watchers=shared.watchers,
            election=shared.election,
            config=outbound.config,
            rollouts=rollouts.registry,
            registry=inbound.registry,
            gate=inbound.gate,
            slack=inbound.slack,
            placement=outbound.placement,
            limits=servers.callers.limits,
            syncs=syncs,
            warmth=inbound.warmup.warmth,
            evacuations=base.evacuations,
        )
    )
    for sync in syncs:
        base.peers.on_lost(sync.on_link_lost)
    shared.mirror.subscribe(base.callbacks.rows_changed)
    base.members.subscribe(base.callbacks.members_changed)
    base.evacuations.subscribe(base.callbacks.evacuation_changed)


def _make_membership(
    base: mesh_base.MeshBase,
) -> membership_service.MembershipService:
    membership = membership_service.MembershipService(
        table=base.members,
        peers=base.peers,
        clock=base.clock,
        rng=base.rng,
        events=base.events,
        on_heartbeat=base.callbacks.on_heartbeat,
        on_former_record=base.callbacks.on_former_record,
    )
    base.peers.on_lost(membership.on_link_lost)
    return membership


def _make_warmer(
    base: mesh_base.MeshBase, outbound: mesh_outbound.MeshOutbound
) -> link_warmer.LinkWarmer:
    return link_warmer.LinkWarmer(
        members=base.members,
        peers=base.peers,
        placement=outbound.placement,
        clock=base.clock,
        rng=base.rng,
    )


def _make_servers(
    base: mesh_base.MeshBase,
    inbound: mesh_inbound.MeshInbound,
    outbound: mesh_outbound.MeshOutbound,
    membership: membership_service.MembershipService,
) -> _Servers:
    settings = base.settings
    callers = caller_dialect.CallerDialect(
        handle=outbound.router.handle,
        timeout_ms=outbound.router.timeout_ms,
        has_tenants=outbound.tenants.has_tenants,
    )
    control = control_dialect.ControlDialect(
        registry=announced_warmth.AnnouncedWarmth(
            registry=target_departures.TargetDepartures(
                registry=inbound.registry,
                confirm=record_confirmation.RecordConfirmation(
                    table=base.members,
                    peers=base.peers,
                    clock=base.clock,
                    flood=membership.flood,
                ).confirm,
            ),
            warmth=inbound.warmup.warmth,
        ),
        is_ready=lambda: (
            outbound.config.table is not None
            and base.members.own.status
            == member_status.MemberStatus.SERVING.value
        ),
    )
    return _Servers(
        callers=pipelined_server.PipelinedServer(
            address=settings.caller_address,
            respond=callers.respond,
            time_limit=callers.time_limit_s,
            account=base.account,
            max_connections=base.account.bounds.caller_connections,
            accept_handles=pipelined_server.ACCEPT_HANDLES,
        ),
        control=pipelined_server.PipelinedServer(
            address=settings.control_address,
            respond=control.respond,
            limits=connection_limits.short_requests(),
            account=base.account,
            max_connections=base.account.bounds.own_connections,
        ),
        ready=pipelined_server.PipelinedServer(
            address=settings.ready_address,
            respond=control.respond_ready,
            limits=connection_limits.short_requests(),
            account=base.account,
            max_connections=base.account.bounds.own_connections,
        ),
    )
