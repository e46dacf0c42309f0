"""Base parts of a mesh node, on which most others depend."""

import typing

from galenatack.app import mesh_callbacks
from galenatack.clients import client_account
from galenatack.clients import client_bounds
from galenatack.homes import evacuations
from galenatack.interfaces import clock as clock_interface
from galenatack.interfaces import random_source
from galenatack.links import peer_network
from galenatack.links import tls
from galenatack.membership import member_table
from galenatack.model import member_record
from galenatack.model import member_status
from galenatack.settings import mesh_settings
from galenatack.settings import trust_settings
from galenatack.telemetry import call_stats
from galenatack.telemetry import request_log
from galenatack.timeline import hybrid_clock
from galenatack.timeline import recorder

DEPLOYMENT = "mesh"
EVENT_CAPACITY = 512
"""Capacity of a node's event buffer; about 0.3 MB."""


class MeshBase(typing.NamedTuple):
    """Base parts, on which most others depend."""

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
    evacuations: evacuations.Evacuations
    account: client_account.ClientAccount


def make(
    settings: mesh_settings.MeshSettings,
    clock: clock_interface.Clock,
    rng: random_source.RandomSource,
) -> MeshBase:
    """Makes the base parts."""
    own = _own_record(settings, clock.wall_ms())
    hlc = hybrid_clock.HybridClock(clock=clock)
    members = member_table.MemberTable(own=own, clock=clock)
    callbacks = mesh_callbacks.MeshCallbacks()
    account = client_account.ClientAccount(
        bounds=client_bounds.derive(
            memory_mb=settings.memory_mb, max_fds=settings.max_fds
        ),
        now_s=clock.monotonic_s,
    )
    trust = trust_settings.TrustSettings(mode=tls.MODE_NONE, ticket_key="")
    return MeshBase(
        settings=settings,
        clock=clock,
        rng=rng,
        hlc=hlc,
        events=recorder.Recorder(
            node_id=own.node_id,
            incarnation=own.boot_ms,
            hlc=hlc,
            capacity=EVENT_CAPACITY,
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
            account=account,
        ),
        log=request_log.RequestLog(clock=clock),
        stats=call_stats.CallStats(),
        callbacks=callbacks,
        evacuations=evacuations.Evacuations(clock=clock),
        account=account,
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
        peer_address=settings.advertised_address or settings.peer_address,
        call_address=settings.caller_address,
        admin_address="",
        slots=0,
        boot_ms=boot_ms,
    )
