"""One instance of the demo: a target and the node beside it."""

import pathlib
import socket
import typing

import yaml

from standins.demo import deployment as deployment_module

ADDRESSES_PER_INSTANCE = 4


class Instance(typing.NamedTuple):
    """A target and its node, with their loopback addresses.

    Attributes:
        node_id: Identifier of the node.
        service: Service of the target.
        version: Version of the target.
        data_centre: Data centre of the instance.
        region: Region of the data centre.
        slots: Number of concurrent calls of the target.
        call_address: Caller listener of the node.
        peer_address: Peer listener of the node.
        admin_address: Admin listener of the node.
        target_address: Listener of the target.
    """

    node_id: str
    service: str
    version: str
    data_centre: str
    region: str
    slots: int
    call_address: str
    peer_address: str
    admin_address: str
    target_address: str


def free_addresses(count: int) -> list[str]:
    """Returns `count` free loopback addresses."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for probe in sockets:
            probe.bind(("127.0.0.1", 0))
        return [f"127.0.0.1:{probe.getsockname()[1]}" for probe in sockets]
    finally:
        for probe in sockets:
            probe.close()


def plan(
    deployment: deployment_module.Deployment, *, copies: int = 1
) -> list[Instance]:
    """Returns `copies` instances per service, version and data centre."""
    places = [
        (service, version, data_centre, f"-{copy}" if copies > 1 else "")
        for service in deployment.services
        for version in service.versions
        for data_centre in deployment.regions
        for copy in range(copies)
    ]
    # All ports are reserved together; a port freed earlier could be returned
    # twice.
    addresses = iter(free_addresses(ADDRESSES_PER_INSTANCE * len(places)))
    return [
        Instance(
            node_id=f"{service.name}-{version}-{data_centre}{suffix}",
            service=service.name,
            version=version,
            data_centre=data_centre,
            region=deployment.regions[data_centre],
            slots=service.slots,
            call_address=next(addresses),
            peer_address=next(addresses),
            admin_address=next(addresses),
            target_address=next(addresses),
        )
        for service, version, data_centre, suffix in places
    ]


def write_settings(
    instance: Instance,
    *,
    deployment: deployment_module.Deployment,
    platform: str,
    seeds: list[str],
    folder: pathlib.Path,
) -> pathlib.Path:
    """Writes the node's settings file and returns its path."""
    settings = {
        "deployment": deployment.name,
        "node_id": instance.node_id,
        "data_centre": instance.data_centre,
        "region": instance.region,
        "service": instance.service,
        "version": instance.version,
        "call_address": instance.call_address,
        "peer_address": instance.peer_address,
        "admin_address": instance.admin_address,
        "target_url": f"http://{instance.target_address}",
        "platform_url": f"http://{platform}",
        "seeds": [seed for seed in seeds if seed != instance.peer_address],
        "slots": instance.slots,
        "invariants": "raise",
        "fault_injection": True,
        "region_delay_ms": deployment.region_delay_ms,
        "trust": {"mode": "none", "ticket_key": "demo-ticket-key-0123456789ab"},
    }
    path = folder / f"{instance.node_id}.yaml"
    path.write_text(yaml.safe_dump(settings, sort_keys=False))
    return path
