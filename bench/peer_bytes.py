"""Bytes sent on a node's peer links, computed by encoding real messages.

Counts the frames that an average node sends: payload and websocket header (2
to 8 bytes), without TCP, IP and TLS. The table is
deterministic: `python -m bench.peer_bytes`.
"""

import typing

from galenatack.links import link_monitor
from galenatack.links import message_codec
from galenatack.membership import ring
from galenatack.messages import delta
from galenatack.messages import heartbeat
from galenatack.messages import held
from galenatack.messages import members
from galenatack.model import entry
from galenatack.model import member_record

NODE_COUNTS = (12, 48, 367)
"""Nodes of a data centre; the last value is the design scale."""

ALL_NODES = 4400
CHANGES_PER_DAY = 2300
RESTARTS_PER_DAY = 512
RECORDS_PER_RESTART = 4
"""One record each for suspect or leaving, dead, joining and serving."""

ENTRY_BODY_BYTES = 2048
"""Assumed size of one changed profile, choice or move."""

SECONDS_PER_DAY = 86_400
SHORT_FRAME_BYTES = 126
MASK_BYTES = 4

WALL_MS = 1_800_000_000_000


class Row(typing.NamedTuple):
    """One row of the table, in bytes per second sent by an average node.

    Attributes:
        nodes: Nodes of the data centre.
        links: Mean number of overlay links of a node.
        heartbeat_bytes_s: Heartbeats.
        member_bytes_s: Flooded member records.
        delta_bytes_s: Flooded deltas.
        held_bytes_s: Acknowledgements of deltas.
    """

    nodes: int
    links: float
    heartbeat_bytes_s: float
    member_bytes_s: float
    delta_bytes_s: float
    held_bytes_s: float

    @property
    def total_bytes_s(self) -> float:
        """Sum of all columns."""
        return sum(self[2:])


def frame_bytes(message: typing.Any) -> float:
    """Returns the size of a message with its websocket header.

    Only the dialling side masks its frames, so the mean frame has half a mask.
    """
    size = len(message_codec.encode(message))
    header = 2 if size < SHORT_FRAME_BYTES else 4
    return size + header + MASK_BYTES / 2


def mean_links(count: int) -> float:
    """Returns the mean number of overlay links of a node."""
    names = [f"node-{number:04}" for number in range(count)]
    pairs = {
        frozenset((name, other))
        for name in names
        for other in ring.successors(name, names)
    }
    return 2 * len(pairs) / count


def row(count: int, *, changes_per_day: int, restarts_per_day: int) -> Row:
    """Returns the figures for a data centre of `count` nodes."""
    links = mean_links(count)
    # In a flood each node forwards to all links except the one on which it
    # received the message; this includes duplicates that cross.
    flood_sends = links - 1
    changes_s = changes_per_day / SECONDS_PER_DAY
    records_s = restarts_per_day * RECORDS_PER_RESTART / SECONDS_PER_DAY
    return Row(
        count,
        links,
        links * frame_bytes(_heartbeat()) / link_monitor.HEARTBEAT_S,
        flood_sends * records_s * frame_bytes(members.Members((_record(),))),
        flood_sends * changes_s * frame_bytes(_delta()),
        links * changes_s * frame_bytes(held.Held("node-0001", 2300)),
    )


def rows() -> list[tuple[str, Row]]:
    """Returns the rows of the table with their load."""
    result = []
    for count in NODE_COUNTS:
        idle = row(count, changes_per_day=0, restarts_per_day=0)
        share = RESTARTS_PER_DAY * count // ALL_NODES
        # Records of all data centres reach each node.
        spread = RESTARTS_PER_DAY if count == NODE_COUNTS[-1] else share
        busy = row(
            count, changes_per_day=CHANGES_PER_DAY, restarts_per_day=spread
        )
        result += [("idle", idle), ("changes", busy)]
    return result


def main() -> None:
    """Prints the table."""
    print("sent bytes/s of a mean node; nodes are those of a data centre")
    print(
        f"{'nodes':>5} {'load':<8} {'links':>5} {'heartbeat':>9}"
        f" {'members':>8} {'delta':>8} {'held':>6} {'total':>8}"
    )
    for load, item in rows():
        print(
            f"{item.nodes:>5} {load:<8} {item.links:>5.2f}"
            f" {item.heartbeat_bytes_s:>9.1f} {item.member_bytes_s:>8.1f}"
            f" {item.delta_bytes_s:>8.1f} {item.held_bytes_s:>6.1f}"
            f" {item.total_bytes_s:>8.1f}"
        )


def _heartbeat() -> heartbeat.Heartbeat:
    return heartbeat.Heartbeat(2300, (1 << 64) - 1, WALL_MS << 16)


def _record() -> member_record.MemberRecord:
    return member_record.MemberRecord(
        "purchases-0001",
        WALL_MS,
        "serving",
        "valparaiso-a",
        "centro",
        "purchases",
        "2027.01.3",
        "10.20.30.40:7101",
        "10.20.30.40:7100",
        "10.20.30.40:7102",
        12,
        2300,
    )


def _delta() -> delta.Delta:
    body = bytes(ENTRY_BODY_BYTES)
    changed = entry.Entry("profile/purchases", 2300, 41, "0" * 64, body)
    return delta.Delta(2299, 2300, (changed,), None)


if __name__ == "__main__":
    main()
