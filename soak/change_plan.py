"""Draws the faults of a run in which the configuration is under load."""

import random

from soak import fault
from soak import plan

MEAN_CHANGE_GAP_S = 0.9
STORM_SHARE = 0.06
MIN_GAP_S = 1.0
MAX_GAP_S = 6.0
MAX_FAULT_S = 4.0
MIN_SILENCE_S = 4.0
MAX_SILENCE_S = 12.0
_Kind = fault.Kind
DRAWN = (
    _Kind.KILL,
    _Kind.STOP,
    _Kind.RELOAD,
    _Kind.HERD,
    _Kind.PAUSE,
    _Kind.PEERS_SILENT,
    _Kind.PEERS_RESET,
    _Kind.STORE_SILENT,
    _Kind.STORE_DOWN,
    _Kind.STORE_SLOW,
    _Kind.STORE_FORGETS,
    _Kind.STORE_RESTORED,
    _Kind.READERS_SILENT,
    _Kind.READERS_UNANSWERED,
    _Kind.STORE_LAGS,
)


def draw(*, seed: int, nodes: int, seconds: float) -> tuple[fault.Fault, ...]:
    """Returns changes in series, beside a few kinds of faults.

    Args:
        seed: Seed of the run.
        nodes: Number of nodes.
        seconds: Time in which they start.
    """
    rng = random.Random(f"{seed} changes")
    faults = []
    at_s = 0.5
    while at_s < seconds:
        is_storm = rng.random() < STORM_SHARE
        kind = _Kind.CONFIG_STORM if is_storm else _Kind.CONFIG
        faults.append(fault.Fault(at_s=at_s, kind=kind, node=0, for_s=0.0))
        at_s += rng.expovariate(1 / MEAN_CHANGE_GAP_S)
    kinds = rng.sample(DRAWN, k=rng.randint(2, 4))
    at_s = rng.uniform(0.5, MAX_GAP_S)
    while at_s < seconds:
        faults.append(_draw_one(rng, rng.choice(kinds), at_s, nodes))
        at_s += rng.uniform(MIN_GAP_S, MAX_GAP_S)
    return tuple(faults)


def _draw_one(
    rng: random.Random, kind: fault.Kind, at_s: float, nodes: int
) -> fault.Fault:
    node, shortest_s, longest_s = rng.randrange(nodes), 0.2, MAX_FAULT_S
    if kind == _Kind.STORE_RESTORED:
        # The age of the copy.
        node, longest_s = rng.randrange(3), plan.MAX_OUTAGE_S
    elif kind in (_Kind.READERS_SILENT, _Kind.READERS_UNANSWERED):
        shortest_s, longest_s = MIN_SILENCE_S, MAX_SILENCE_S
    return fault.Fault(
        at_s=at_s,
        kind=kind,
        node=node,
        for_s=rng.uniform(shortest_s, longest_s),
    )
