"""Settings of a node."""

import typing

from galenatack.settings import trust_settings


class NodeSettings(typing.NamedTuple):
    """Settings of one node; see docs/OPERATIONS.md.

    Attributes:
        deployment: Name of the deployment; links to other deployments are
            refused.
        node_id: Identifier, unique in the deployment.
        data_centre: Data centre of the instance.
        region: Region of the data centre.
        service: Service of the target.
        version: Version of the target.
        call_address: host:port for callers.
        peer_address: host:port for other nodes.
        admin_address: host:port for operators.
        target_url: Base URL of the target.
        platform_url: Base URL of the table service and the object store.
        seeds: Peer addresses to dial at start.
        slots: Maximum concurrent calls of the target.
        drain_ms: Maximum time that a graceful stop waits for calls.
        invariants: `raise` or `count`.
        trust: Keys and roles.
        fault_injection: True allows the admin call that cuts links (tests).
        region_delay_ms: Delay added to frames to other regions (tests).
        log_level: Level of `logging`.
    """

    deployment: str
    node_id: str
    data_centre: str
    region: str
    service: str
    version: str
    call_address: str
    peer_address: str
    admin_address: str
    target_url: str
    platform_url: str
    seeds: tuple[str, ...]
    slots: int
    trust: trust_settings.TrustSettings
    drain_ms: int = 10_000
    invariants: str = "count"
    fault_injection: bool = False
    region_delay_ms: int = 0
    log_level: str = "INFO"
