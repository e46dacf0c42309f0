"""Draws the faults of a run from its seed."""

import random

from soak import fault

MEAN_GAP_S = 0.8
"""Mean time between the starts of two faults. It is shorter than most faults,
which therefore overlap."""

MAX_FAULT_S = 4.0
MAX_RESTORES = 3
MAX_OUTAGE_S = 2.0
MAX_PAUSE_S = 8.0
PAUSE_LEAD_S = 0.5
"""Longest time between the pause of a driver and the restore."""

MAX_READER_FAULTS = 3
MAX_SILENCE_S = 9.0

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
    others = fault.OF_ROLLOUTS | fault.OF_READERS
    drawn = [kind for kind in fault.Kind if kind not in others]
    kinds = rng.sample(drawn, k=rng.randint(3, 8))
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


def draw_restores(*, seed: int, seconds: float) -> tuple[fault.Fault, ...]:
    """Returns restores of the store, most with a paused driver across them.

    Args:
        seed: Seed of the run.
        seconds: Time in which they start.
    """
    rng = random.Random(f"{seed} restores")
    faults = []
    for _ in range(rng.randint(1, MAX_RESTORES)):
        restore = fault.Fault(
            at_s=rng.uniform(1.0, seconds),
            kind=fault.Kind.STORE_RESTORED,
            node=rng.randrange(3),
            for_s=rng.uniform(0.2, MAX_OUTAGE_S),
        )
        faults.append(restore)
        if rng.random() < 0.6:
            faults.append(
                fault.Fault(
                    at_s=restore.at_s - rng.uniform(0.0, PAUSE_LEAD_S),
                    kind=fault.Kind.DRIVER_PAUSE,
                    node=0,
                    for_s=rng.uniform(restore.for_s, MAX_PAUSE_S),
                )
            )
    return tuple(faults)


def draw_reader_faults(
    *, seed: int, nodes: int, seconds: float
) -> tuple[fault.Fault, ...]:
    """Returns faults of the store's readers, each beside a change.

    Args:
        seed: Seed of the run.
        nodes: Number of nodes.
        seconds: Time in which they start.
    """
    rng = random.Random(f"{seed} readers")
    faults = []
    for _ in range(rng.randint(1, MAX_READER_FAULTS)):
        reader_fault = fault.Fault(
            at_s=rng.uniform(0.5, seconds),
            kind=rng.choice((fault.Kind.READERS_SILENT, fault.Kind.STORE_LAGS)),
            node=rng.randrange(nodes),
            for_s=rng.uniform(1.0, MAX_SILENCE_S),
        )
        faults.append(reader_fault)
        faults.append(
            reader_fault._replace(
                at_s=reader_fault.at_s + rng.uniform(0.0, 2.0),
                kind=fault.Kind.CONFIG,
            )
        )
    return tuple(faults)
