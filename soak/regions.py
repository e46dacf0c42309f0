"""Delays and paces the traffic of a fleet between its regions."""

import collections
import collections.abc
import functools

from soak import dialer
from soak import node_process
from soak import region_line
from soak import relay

_Line = region_line.RegionLine | None


def connect(
    nodes: collections.abc.Sequence[node_process.NodeProcess],
    *,
    store_region: str,
) -> None:
    """Puts lines between the regions of nodes.

    Args:
        nodes: The nodes.
        store_region: Region of the store.
    """
    lines: dict[tuple[str, str], region_line.RegionLine] = (
        collections.defaultdict(region_line.RegionLine)
    )

    def between(one: str, other: str) -> tuple[_Line, _Line]:
        if one == other:
            return None, None
        return lines[one, other], lines[other, one]

    def of_peer(
        node: node_process.NodeProcess, client: tuple[str, int]
    ) -> tuple[_Line, _Line]:
        nodes_by_pid = {peer.pid: peer for peer in nodes if peer.pid}
        pid = dialer.owner(
            client, relay.split(node.peers.address), nodes_by_pid
        )
        if pid is None:
            # It has closed its end already.
            return None, None
        return between(nodes_by_pid[pid].region, node.region)

    for node in nodes:
        node.peers.lines_of = functools.partial(of_peer, node)
        node.store.lines_of = functools.partial(
            lambda region, client: between(region, store_region), node.region
        )
