"""Draws the faults of a run from its seed."""

import random

from soak import fault

MEAN_GAP_S = 0.8
"""Mean time between the begins of two faults; they last longer, so that they
overlap."""

LONGEST_S = 4.0
QUIET_S = 5.0
"""A pause in the middle in which the promises of calm times are checked."""


def draw(*, seed: int, nodes: int, seconds: float) -> tuple[fault.Fault, ...]:
    """Returns the faults of a run in their order.

    Args:
        seed: Seed of the run.
        nodes: Number of nodes.
        seconds: Length of the part with faults.
    """
    rng = random.Random(seed)
    # Each run has a few kinds, in series and overlapping, rather than all.
    kinds = rng.sample(list(fault.Kind), k=rng.randint(3, 8))
    found = []
    at_s = 0.5
    while at_s < seconds:
        found.append(
            fault.Fault(
                at_s=at_s,
                kind=rng.choice(kinds),
                node=rng.randrange(nodes),
                for_s=rng.uniform(0.2, LONGEST_S),
            )
        )
        at_s += rng.expovariate(1 / MEAN_GAP_S)
    middle_s = seconds / 2
    return tuple(
        item._replace(at_s=item.at_s + QUIET_S + LONGEST_S)
        if item.at_s > middle_s
        else item
        for item in found
    )
