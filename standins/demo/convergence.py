"""Convergence times computed from the events of nodes."""

import typing

HLC_COUNTER_BITS = 16


class Change(typing.NamedTuple):
    """Propagation of an accepted change.

    Attributes:
        seq: Sequence number of the change.
        key: Key of its entry.
        nodes: Number of nodes on which it came into force.
        converged_ms: Time from acceptance until the last of them.
    """

    seq: int
    key: str
    nodes: int
    converged_ms: int


def changes(events: list[dict[str, typing.Any]]) -> list[Change]:
    """Returns all accepted changes in the order of their seq."""
    accepted = {}
    running: dict[str, list[tuple[int, int]]] = {}
    for event in events:
        facts = dict(event["facts"])
        wall_ms = event["hlc"] >> HLC_COUNTER_BITS
        if event["kind"] == "change-accepted":
            accepted[int(facts["seq"])] = (wall_ms, facts["key"])
        elif event["kind"] == "change-running":
            node = event["event_id"]["node_id"]
            running.setdefault(node, []).append((int(facts["seq"]), wall_ms))
    return [
        _change(seq, key, accepted_ms, running)
        for seq, (accepted_ms, key) in sorted(accepted.items())
    ]


def _change(
    seq: int,
    key: str,
    accepted_ms: int,
    running: dict[str, list[tuple[int, int]]],
) -> Change:
    times_ms = []
    for steps in running.values():
        reached = [wall_ms for step_seq, wall_ms in steps if step_seq >= seq]
        if reached:
            times_ms.append(min(reached))
    last_ms = max(times_ms, default=accepted_ms)
    return Change(seq, key, len(times_ms), last_ms - accepted_ms)
