"""Rates of control traffic between two samples."""

import time
import typing

from standins.demo import admin as admin_module
from standins.demo import instance as instance_module

CALL_TYPES = frozenset({"Call", "CallAnswer", "CancelCall"})


class Sample(typing.NamedTuple):
    """Cumulative control bytes sent.

    Attributes:
        taken_s: Monotonic time of the sample.
        sent_bytes: Bytes sent by node id.
        crossing_bytes: Bytes sent across the region boundary by node id.
    """

    taken_s: float
    sent_bytes: dict[str, int]
    crossing_bytes: dict[str, int]


class Rates(typing.NamedTuple):
    """Control bytes per second.

    Attributes:
        node_bytes_per_s: Mean of bytes sent and received per node.
        worst_node_bytes_per_s: Bytes sent by the node that sends the most.
        crossing_bytes_per_s: Bytes sent across region boundaries, all nodes.
    """

    node_bytes_per_s: float
    worst_node_bytes_per_s: float
    crossing_bytes_per_s: float


def sample(
    admin: admin_module.Admin, instances: list[instance_module.Instance]
) -> Sample:
    """Reads the traffic counters of all nodes."""
    sent = {}
    crossing = {}
    for instance in instances:
        state = admin.get(instance.admin_address, "/admin/v1/node")
        if state is None:
            continue
        rows = [
            row
            for row in state["traffic"]
            if row["direction"] == "sent"
            and row["message_type"] not in CALL_TYPES
        ]
        sent[instance.node_id] = sum(row["payload_bytes"] for row in rows)
        crossing[instance.node_id] = sum(
            row["payload_bytes"] for row in rows if row["crosses_region"]
        )
    return Sample(time.monotonic(), sent, crossing)


def rates(before: Sample, after: Sample) -> Rates:
    """Returns the rates between two samples, over nodes in both."""
    elapsed_s = after.taken_s - before.taken_s
    both = before.sent_bytes.keys() & after.sent_bytes.keys()
    sent_per_s = {
        node: (after.sent_bytes[node] - before.sent_bytes[node]) / elapsed_s
        for node in both
    }
    crossing = sum(
        after.crossing_bytes[node] - before.crossing_bytes[node]
        for node in both
    )
    # Each byte sent by one node is received by another one.
    mean = 2 * sum(sent_per_s.values()) / max(1, len(sent_per_s))
    worst = max(sent_per_s.values(), default=0.0)
    return Rates(mean, worst, crossing / elapsed_s)
