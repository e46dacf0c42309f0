"""Makes the parts of a node and wires them to its external dependencies."""

import typing

from galenatack.app import base_parts
from galenatack.app import call_parts
from galenatack.app import external_dependencies
from galenatack.app import parts
from galenatack.config import acceptor
from galenatack.config import entry_check
from galenatack.config import log_state
from galenatack.config import platform_log
from galenatack.config import propagation
from galenatack.config import reader
from galenatack.config import state_rebuild
from galenatack.invariants import violations
from galenatack.membership import membership_service
from galenatack.membership import neighbour_sync
from galenatack.moves import move_runner
from galenatack.moves import move_service
from galenatack.moves import withdrawals
from galenatack.postings import claim_cleanup
from galenatack.routing import balancer
from galenatack.routing import snapshot_updater
from galenatack.settings import node_settings


class _Config(typing.NamedTuple):
    """Parts of the configuration path."""

    state: log_state.LogState
    propagation: propagation.Propagation
    reader: reader.PlatformReader
    rebuild: state_rebuild.StateRebuild
    acceptor: acceptor.Acceptor


def wire(
    settings: node_settings.NodeSettings,
    external: external_dependencies.ExternalDependencies,
) -> parts.Parts:
    """Makes and wires all parts of a node.

    Args:
        settings: Settings of the node.
        external: Time, links, platform and target.

    Raises:
        exceptions.SettingsError: A certificate file cannot be used.
    """
    violations.set_mode(settings.invariants)
    base = base_parts.make(settings, external)
    config = _make_config(base)
    withdrawn = withdrawals.Withdrawals(
        clock=base.external.clock, peers=base.peers, events=base.events
    )
    runner = move_runner.MoveRunner(
        members=base.members,
        lease_table=external.table,
        writer=config.acceptor,
        withdrawals=withdrawn,
        peers=base.peers,
        clock=base.external.clock,
        events=base.events,
    )
    loads = balancer.Balancer(clock=external.clock, rng=external.rng)
    calls = call_parts.make(base, config.propagation, withdrawn, runner, loads)
    updater = snapshot_updater.SnapshotUpdater(
        running=config.state.running,
        table=base.members,
        withdrawals=withdrawn,
        holder=calls.holder,
        clock=base.external.clock,
        events=base.events,
        retain_loads=loads.retain_only,
    )
    membership = membership_service.MembershipService(
        table=base.members,
        peers=base.peers,
        clock=base.external.clock,
        rng=base.external.rng,
        events=base.events,
        on_heartbeat=base.callbacks.on_heartbeat,
    )
    base.peers.on_lost(membership.on_link_lost)
    base.peers.on_lost(base.callbacks.on_link_lost)
    base.callbacks.connect(
        hlc=base.hlc,
        members=base.members,
        state=config.state,
        propagation=config.propagation,
        updater=updater,
        move_runner=runner,
        withdrawal_sync=neighbour_sync.NeighbourSync(
            messages=withdrawn.all, peers=base.peers
        ),
        holder=calls.holder,
        gate=calls.gate,
        events=base.events,
    )
    return parts.Parts(
        settings=settings,
        clock=external.clock,
        platform=external.platform,
        table=external.table,
        target=external.target,
        events=base.events,
        members=base.members,
        peers=base.peers,
        peer_tls=base.peer_tls,
        faults=base.faults,
        membership=membership,
        moves=move_service.MoveService(
            writer=config.acceptor,
            clock=base.external.clock,
            rng=base.external.rng,
        ),
        move_runner=runner,
        withdrawals=withdrawn,
        updater=updater,
        claim_cleanup=claim_cleanup.ClaimCleanup(
            table=external.table,
            clock=base.external.clock,
            events=base.events,
            is_holder=base.callbacks.is_cleaner,
        ),
        **config._asdict(),
        **calls._asdict(),
    )


def _make_config(base: base_parts.BaseParts) -> _Config:
    table = base.external.table
    objects = base.external.objects
    node_id = base.settings.node_id
    state = log_state.LogState(
        node_id=node_id, rejection_reason=entry_check.rejection_reason
    )
    propagator = propagation.Propagation(
        node_id=node_id,
        state=state,
        peers=base.peers,
        clock=base.external.clock,
        rng=base.external.rng,
        events=base.events,
        live=base.callbacks.live_in_data_centre,
        on_running=base.callbacks.on_running,
        on_rejection=base.callbacks.on_rejection,
    )
    log = platform_log.PlatformLog(table=table, objects=objects, state=state)
    return _Config(
        state=state,
        propagation=propagator,
        reader=reader.PlatformReader(
            log=log,
            propagation=propagator,
            is_reader=base.callbacks.is_reader,
            clock=base.external.clock,
            rng=base.external.rng,
            events=base.events,
        ),
        rebuild=state_rebuild.StateRebuild(
            node_id=node_id,
            propagation=propagator,
            log=log,
            peers=base.peers,
            live=base.callbacks.live_in_data_centre,
            is_reader=base.callbacks.is_rebuild_reader,
            clock=base.external.clock,
            rng=base.external.rng,
        ),
        acceptor=acceptor.Acceptor(
            table=table,
            objects=objects,
            clock=base.external.clock,
            rng=base.external.rng,
            events=base.events,
            accept_delta=propagator.accept_delta,
        ),
    )
