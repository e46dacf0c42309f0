"""Draws the faults of a run from its seed."""

import random

from soak import fault

MEAN_GAP_S = 0.8
"""Mean time between the starts of two faults. It is shorter than most faults,
which therefore overlap."""

MAX_FAULT_S = 4.0
QUIET_S = 5.0
"""Length of the fault-free pause in the middle of a run, in which promises
that hold only without faults are checked."""


def draw(*, seed: int, nodes: int, seconds: float) -> tuple[fault.Fault, ...]:
    """Returns the faults of a run in order of their start.

    Args:
        seed: Seed of the run.
        nodes: Number of nodes.
        seconds: Length of the faulty part, without the pause.
    """
    rng = random.Random(seed)
    # Each run mixes a few kinds rather than all of them.
    kinds = rng.sample(list(fault.Kind), k=rng.randint(3, 8))
    faults = []
    at_s = 0.5
    while at_s < seconds:
        faults.append(
            fault.Fault(
                at_s=at_s,
                kind=rng.choice(kinds),
                node=rng.randrange(nodes),
                for_s=rng.uniform(0.2, MAX_FAULT_S),
            )
        )
        at_s += rng.expovariate(1 / MEAN_GAP_S)
    middle_s = seconds / 2
    return tuple(
        item._replace(at_s=item.at_s + QUIET_S + MAX_FAULT_S)
        if item.at_s > middle_s
        else item
        for item in faults
    )
