"""CPU time of the periodic work of an idle node, with 4,400 members."""

import collections.abc
import time

from bench import bounds
from bench import memory
from galenatack.app import node_callbacks
from galenatack.membership import node_roles

REPEATS = 50
ROUNDS = 5
_US_PER_S = 1_000_000
_UNUSED_PARTS = (
    "hlc",
    "state",
    "propagation",
    "updater",
    "move_runner",
    "withdrawal_sync",
    "holder",
    "gate",
    "events",
)


def figures() -> bounds.Figures:
    """Returns the CPU time of one call of each step, in microseconds."""
    table = memory.design_members()
    callbacks = node_callbacks.NodeCallbacks()
    # The measured steps use only the members.
    callbacks.connect(**dict.fromkeys(_UNUSED_PARTS), members=table)
    steps = {
        "live_in_data_centre": callbacks.live_in_data_centre,
        "is_reader": callbacks.is_reader,
        "is_cleaner": callbacks.is_cleaner,
        "is_carrier": lambda: node_roles.is_carrier(table),
        "carrier_peers": lambda: node_roles.carrier_peers(table),
    }
    return {
        f"idle_scale.{name}_us": _fastest_us(step)
        for name, step in steps.items()
    }


def _fastest_us(step: collections.abc.Callable[[], object]) -> float:
    times_s = []
    for _ in range(ROUNDS):
        start_s = time.process_time()
        for _ in range(REPEATS):
            step()
        times_s.append(time.process_time() - start_s)
    return min(times_s) / REPEATS * _US_PER_S
