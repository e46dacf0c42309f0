"""Convergence of the real configuration path in virtual time.

The nodes are joined by `MemoryNetwork`, where every node reaches every other
one of all data centres with 1 to 5 ms, so that the times hold for the protocol
and not for the overlay, and the messages are those of a full mesh.
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
# Longer than the fallback window of a fresh node plus its rebuild.
SETTLE_S = 8.0
IDLE_S = 5.0
# Time after which a node counts as missing.
LIMIT_S = 10.0
STEP_S = 0.001
SEED = 11
_MS_PER_S = 1000


class _Watch:
    """Counts messages and waits for changes on all nodes."""

    def __init__(self, whole: cluster_module.Cluster):
        self._whole = whole
        self._spawn = whole.network.spawn
        self.messages: collections.Counter[type] = collections.Counter()
        self.missing = 0
        whole.network.spawn = self._count

    async def converge(self, seq: int) -> None:
        """Returns when the seq is in force on all nodes."""
        states = [node.state for node in self._whole.nodes.values()]
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
        f"dc{place}": tuple(
            f"n{number:03}" for number in range(place, count, DATA_CENTRES)
        )
        for place in range(DATA_CENTRES)
    }
    figures: bounds.Figures = {}

    async def main(whole: cluster_module.Cluster) -> None:
        figures.update(await _measure(whole, count))

    cluster_module.run(main, data_centres=data_centres, seed=SEED)
    return figures


async def _measure(whole: cluster_module.Cluster, count: int) -> bounds.Figures:
    watch = _Watch(whole)
    whole.start_all()
    await anyio.sleep(SETTLE_S)
    reads = whole.table.reads
    await anyio.sleep(IDLE_S)
    idle_reads = whole.table.reads - reads
    watch.messages.clear()
    written = whole.table.writes
    times_ms = await _publish(whole, watch)
    del watch.messages[heartbeat.Heartbeat]
    return {
        "median_ms": statistics.median(times_ms),
        "worst_ms": max(times_ms),
        "nodes_missing": watch.missing,
        "idle_table_reads_per_s": idle_reads / IDLE_S,
        "row_writes_per_change": (whole.table.writes - written) / PUBLISHES,
        "messages_per_change_and_node": (
            watch.messages.total() / PUBLISHES / count
        ),
    }


async def _publish(whole: cluster_module.Cluster, watch: _Watch) -> list[float]:
    accept = whole.nodes["n000"].acceptor()
    times_ms = []
    for number in range(PUBLISHES):
        fields = sample_profile.fields(timeout_ms=2000 + number)
        item = await accept.publish(json.dumps(fields).encode(), expect=None)
        began_s = anyio.current_time()
        await watch.converge(item.seq)
        times_ms.append((anyio.current_time() - began_s) * _MS_PER_S)
        await anyio.sleep(PAUSE_S)
    return times_ms
