"""Resource usage of the nodes of a fleet between two samples."""

import collections
import time
import typing

from bench import bounds
from bench import fleet as fleet_module
from standins.demo import traffic

_CPU = "galenatack_process_cpu_seconds_total"
_PERCENT = 100

Key = tuple[str, str, bool]
"""Message type, direction, whether it crosses the region boundary."""


class Sample(typing.NamedTuple):
    """Cumulative totals of all nodes at one time.

    Attributes:
        taken_s: Monotonic time.
        cpu_s: CPU time of each node.
        sent_bytes: Payload of control frames by key, over all nodes.
        platform: Reads and writes of the platform.
    """

    taken_s: float
    cpu_s: list[float]
    sent_bytes: dict[Key, int]
    platform: dict[str, int]


class Usage(typing.NamedTuple):
    """Rates between two samples.

    Attributes:
        cpu_percent: Mean CPU usage of a node, in percent of a core.
        worst_cpu_percent: CPU usage of the busiest node.
        bytes_per_s: Control payload of an average node by key.
        crossing_bytes_per_s: Bytes sent across region boundaries, all nodes.
        reads_per_s: Platform reads.
        writes_per_s: Platform rows written.
    """

    cpu_percent: float
    worst_cpu_percent: float
    bytes_per_s: dict[Key, float]
    crossing_bytes_per_s: float
    reads_per_s: float
    writes_per_s: float

    @property
    def total_bytes_per_s(self) -> float:
        """Control payload sent and received by an average node."""
        return sum(self.bytes_per_s.values())


def sample(fleet: fleet_module.Fleet) -> Sample:
    """Reads the counters of all nodes and of the platform."""
    taken_s = time.monotonic()
    cpu_s = [fleet.metrics(node)[_CPU] for node in fleet.instances]
    totals: collections.Counter[Key] = collections.Counter()
    for node in fleet.instances:
        state = fleet.admin.get(node.admin_address, "/admin/v1/node")
        for row in state["traffic"]:
            if row["message_type"] not in traffic.CALL_TYPES:
                key = (
                    row["message_type"],
                    row["direction"],
                    row["crosses_region"],
                )
                totals[key] += row["payload_bytes"]
    return Sample(taken_s, cpu_s, dict(totals), fleet.platform_stats())


def between(before: Sample, after: Sample) -> Usage:
    """Returns the rates between two samples of the same processes."""
    elapsed_s = after.taken_s - before.taken_s
    nodes = len(after.cpu_s)
    cpu = [
        _PERCENT * (late - early) / elapsed_s
        for early, late in zip(before.cpu_s, after.cpu_s, strict=True)
    ]
    rates = {
        key: (total - before.sent_bytes.get(key, 0)) / elapsed_s
        for key, total in after.sent_bytes.items()
    }
    crossing = sum(
        rate
        for (_, direction, crosses), rate in rates.items()
        if crosses and direction == "sent"
    )
    platform_rates = {
        name: (after.platform[name] - before.platform[name]) / elapsed_s
        for name in ("reads", "writes")
    }
    return Usage(
        sum(cpu) / nodes,
        max(cpu),
        {key: rate / nodes for key, rate in rates.items()},
        crossing,
        platform_rates["reads"],
        platform_rates["writes"],
    )


def by_type(usage: Usage, prefix: str) -> bounds.Figures:
    """Returns bytes of an average node by message type and direction."""
    totals: collections.Counter[str] = collections.Counter()
    for (kind, direction, _), rate in usage.bytes_per_s.items():
        totals[f"{prefix}.{kind}.{direction}_bytes_s"] += rate
    return {name: rate for name, rate in totals.items() if rate}
