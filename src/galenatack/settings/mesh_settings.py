"""Settings of a node that runs on a shared platform."""

import typing

from galenatack.settings import fleet_bounds


class MeshSettings(typing.NamedTuple):
    """Settings of a node that runs on a shared platform.

    Attributes:
        node_id: Identifier of the node.
        data_centre: Data centre of the instance.
        region: Region of the data centre.
        service: Service of the own target.
        target_address: host:port of the own target.
        caller_address: host:port for calls of callers and the own target.
        control_address: host:port for announcements of the own target.
        ready_address: host:port of the readiness check.
        peer_address: host:port for other nodes.
        metrics_address: host:port of the metrics; empty to disable them.
        store_address: host:port of the shared tables.
        bounds: Limits that the deployment sets.
        advertised_address: host:port under which other nodes reach
            `peer_address` if the port is forwarded; empty if it is the same.
        memory_mb: Memory of the machine; 0 if it is unknown.
        max_fds: Limit of the machine on descriptors; 0 if it is unknown.
    """

    node_id: str
    data_centre: str
    region: str
    service: str
    target_address: str
    caller_address: str
    control_address: str
    ready_address: str
    peer_address: str
    metrics_address: str
    store_address: str
    bounds: fleet_bounds.FleetBounds
    advertised_address: str = ""
    memory_mb: int = 0
    max_fds: int = 0
