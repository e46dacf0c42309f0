"""Makes the base parts of a node, on which most others depend."""

import typing

from galenatack.app import external_dependencies
from galenatack.app import node_callbacks
from galenatack.links import fault_injector
from galenatack.links import peer_network
from galenatack.links import tls
from galenatack.membership import member_table
from galenatack.model import member_record
from galenatack.model import member_status
from galenatack.settings import node_settings
from galenatack.timeline import hybrid_clock
from galenatack.timeline import recorder


class BaseParts(typing.NamedTuple):
    """Base parts, on which most others depend."""

    settings: node_settings.NodeSettings
    external: external_dependencies.ExternalDependencies
    events: recorder.Recorder
    hlc: hybrid_clock.HybridClock
    members: member_table.MemberTable
    peer_tls: tls.PeerTls
    faults: fault_injector.FaultInjector
    peers: peer_network.WebsocketPeers
    callbacks: node_callbacks.NodeCallbacks


def make(
    settings: node_settings.NodeSettings,
    external: external_dependencies.ExternalDependencies,
) -> BaseParts:
    """Makes the base parts.

    Raises:
        exceptions.SettingsError: A certificate file cannot be used.
    """
    clock = external.clock
    boot_ms = clock.wall_ms()
    hlc = hybrid_clock.HybridClock(clock=clock)
    events = external.new_recorder(
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
    callbacks = node_callbacks.NodeCallbacks()
    peer_tls = tls.PeerTls(trust=settings.trust)
    peers = external.new_peers(
        deployment=settings.deployment,
        listen_address=settings.peer_address,
        seeds=settings.seeds,
        table=members,
        clock=clock,
        rng=external.rng,
        heartbeat_source=callbacks.heartbeat,
        peer_tls=peer_tls,
        faults=faults,
    )
    return BaseParts(
        settings,
        external,
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
