"""Convergence of the real configuration path in virtual time.

The nodes are connected by `MemoryNetwork`, a full mesh across all data centres
with delays of 1 to 5 ms. Times therefore apply to the protocol without the
overlay, and message counts are those of a full mesh.
"""

import collections
import json
import statistics
import typing

import anyio

from bench import bounds
from galenatack.messages import heartbeat
from tests.config import cluster as cluster_module
from tests.fakes import sample_profile

DATA_CENTRES = 4
PUBLISHES = 10
PAUSE_S = 1.0
# Longer than the fallback window of a new node plus its rebuild.
SETTLE_S = 8.0
IDLE_S = 5.0
# Time after which a node counts as missing.
LIMIT_S = 10.0
STEP_S = 0.001
SEED = 11
_MS_PER_S = 1000


class _Observer:
    """Counts messages and waits for changes on all nodes."""

    def __init__(self, cluster: cluster_module.Cluster):
        self._cluster = cluster
        self._spawn = cluster.network.spawn
        self.messages: collections.Counter[type] = collections.Counter()
        self.missing = 0
        cluster.network.spawn = self._count

    async def converge(self, seq: int) -> None:
        """Waits until the seq is in force on all nodes, at most `LIMIT_S`."""
        states = [node.state for node in self._cluster.nodes.values()]
        with anyio.move_on_after(LIMIT_S):
            while any(state.running_seq < seq for state in states):
                await anyio.sleep(STEP_S)
        self.missing += sum(state.running_seq < seq for state in states)

    def _count(self, sender: str, receiver: str, message: typing.Any) -> None:
        self.messages[type(message)] += 1
        self._spawn(sender, receiver, message)


def run(count: int) -> bounds.Figures:
    """Returns the figures of `count` nodes in four data centres."""
    data_centres = {
        f"dc{index}": tuple(
            f"n{number:03}" for number in range(index, count, DATA_CENTRES)
        )
        for index in range(DATA_CENTRES)
    }
    figures: bounds.Figures = {}

    async def main(cluster: cluster_module.Cluster) -> None:
        figures.update(await _measure(cluster, count))

    cluster_module.run(main, data_centres=data_centres, seed=SEED)
    return figures


async def _measure(
    cluster: cluster_module.Cluster, count: int
) -> bounds.Figures:
    observer = _Observer(cluster)
    cluster.start_all()
    await anyio.sleep(SETTLE_S)
    reads = cluster.table.reads
    await anyio.sleep(IDLE_S)
    idle_reads = cluster.table.reads - reads
    observer.messages.clear()
    written = cluster.table.writes
    times_ms = await _publish(cluster, observer)
    del observer.messages[heartbeat.Heartbeat]
    return {
        "median_ms": statistics.median(times_ms),
        "worst_ms": max(times_ms),
        "nodes_missing": observer.missing,
        "idle_table_reads_per_s": idle_reads / IDLE_S,
        "row_writes_per_change": (cluster.table.writes - written) / PUBLISHES,
        "messages_per_change_and_node": (
            observer.messages.total() / PUBLISHES / count
        ),
    }


async def _publish(
    cluster: cluster_module.Cluster, observer: _Observer
) -> list[float]:
    acceptor = cluster.nodes["n000"].acceptor()
    times_ms = []
    for number in range(PUBLISHES):
        fields = sample_profile.fields(timeout_ms=2000 + number)
        published = await acceptor.publish(
            json.dumps(fields).encode(), expect=None
        )
        start_s = anyio.current_time()
        await observer.converge(published.seq)
        times_ms.append((anyio.current_time() - start_s) * _MS_PER_S)
        await anyio.sleep(PAUSE_S)
    return times_ms
