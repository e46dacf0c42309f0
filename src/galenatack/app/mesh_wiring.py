"""The composition root of a node that runs on a shared platform."""

import random
import secrets

from galenatack.app import mesh_base
from galenatack.app import mesh_callbacks
from galenatack.app import mesh_inbound
from galenatack.app import mesh_outbound
from galenatack.app import mesh_parts
from galenatack.app import mesh_rollouts
from galenatack.app import system_clock
from galenatack.config import row_exchange
from galenatack.config import row_mirror
from galenatack.config import store_duty
from galenatack.config import table_watcher
from galenatack.interfaces import clock as clock_interface
from galenatack.interfaces import random_source
from galenatack.interfaces import shared_table
from galenatack.links import pipelined_server
from galenatack.membership import discovery
from galenatack.membership import membership_service
from galenatack.model import member_status
from galenatack.platform import caller_dialect
from galenatack.platform import config_document
from galenatack.platform import control_dialect
from galenatack.platform import rollout_rows
from galenatack.platform import store_table
from galenatack.settings import mesh_settings
from galenatack.traffic import link_warmer
from galenatack.traffic import target_directory

SEED_BITS = 64
MS_PER_S = 1000


CONFIG_PACE_SHARE = 0.2
"""Part of the time in which a configuration must be in force that a node waits
after a change: versions in quick succession cross the link between regions
once."""


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
    base = mesh_base.make(settings, clock, rng)
    directory = target_directory.TargetDirectory(members=base.members)
    rollouts = mesh_rollouts.make(base)
    inbound = mesh_inbound.make(base, rollouts)
    outbound = mesh_outbound.make(base, directory, rollouts, inbound)
    mirror = row_mirror.RowMirror(
        tables=(config_document.TABLE, rollout_rows.PROGRESS_TABLE)
    )
    duty = store_duty.StoreDuty(members=base.members, clock=clock)
    watchers = _make_watchers(base, store, mirror, duty)
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
                own_heartbeat=base.callbacks.own_heartbeat,
                on_behind=base.callbacks.on_behind,
                is_following=base.callbacks.is_following,
                is_store_healthy=base.callbacks.is_store_healthy,
                proximity_of=base.callbacks.proximity_of,
                clock=clock,
            ),
            watchers=watchers,
            duty=duty,
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
            table=store,
            members=base.members,
            clock=clock,
            rng=rng,
            is_lookout=duty.is_due,
        ),
        mirror=mirror,
        watchers=watchers,
        config=outbound.config,
        rollouts=rollouts.book,
        driver=mesh_rollouts.make_driver(base, store, directory, rollouts),
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


def _make_watchers(
    base: mesh_base.MeshBase,
    store: shared_table.SharedTable,
    mirror: row_mirror.RowMirror,
    duty: store_duty.StoreDuty,
) -> tuple[table_watcher.TableWatcher, ...]:
    return tuple(
        table_watcher.TableWatcher(
            name=name,
            table=store,
            mirror=mirror,
            clock=base.clock,
            rng=base.rng,
            is_due=duty.is_due,
            on_rows=base.callbacks.store_brought_rows,
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


def _make_servers(
    base: mesh_base.MeshBase,
    inbound: mesh_inbound.MeshInbound,
    outbound: mesh_outbound.MeshOutbound,
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
