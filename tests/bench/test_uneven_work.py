"""Tests of placement by estimates, in virtual time with fixed seeds."""

import unittest

from bench import overload_world
from bench import uneven_work

IN_TIME = 0.98
"""Share of the calls of each kind within the objective of their route, as for
urgent calls under overload: at 0.8 of the capacity no call needs to be late."""

NOISE = 0.01
"""By which runs of 20 s with other seeds differ."""

SEEDS = (1, 2)


def play(seed, **scene):
    """Plays one run at 0.8 of the capacity."""
    load = overload_world.Load(
        seed,
        0.8,
        is_limited=False,
        warm_s=8.0,
        seconds=12.0,
        scene=uneven_work.Scene(**scene),
    )
    return overload_world.play(load)


class TestUnevenWork(unittest.TestCase):
    def test_kinds_that_differ_ten_times_are_in_time(self):
        """Counting lets calls wait behind ones that cost ten times more."""
        for speeds in (uneven_work.EVEN_SPEEDS, uneven_work.UNEVEN_SPEEDS):
            tally = play(1, uses_estimates=True, speeds=speeds)
            for kind in ("light", "heavy"):
                self.assertGreaterEqual(tally.share_in_time(kind), IN_TIME)
            # A light call is nowhere near the objective unless it waits.
            self.assertLess(tally.p99_ms("light"), uneven_work.OBJECTIVE_MS / 2)

    def test_costs_that_nothing_shows_are_no_worse_than_counting(self):
        """A bad estimate must not cost more than none."""
        for seed in SEEDS:
            for has_slow_spells in (False, True):
                counted, estimated = (
                    play(
                        seed,
                        is_hidden=True,
                        has_slow_spells=has_slow_spells,
                        uses_estimates=uses_estimates,
                    )
                    for uses_estimates in (False, True)
                )
                for kind in ("light", "heavy"):
                    self.assertGreaterEqual(
                        estimated.share_in_time(kind),
                        counted.share_in_time(kind) - NOISE,
                    )

    def test_slow_targets_are_avoided_and_used_again(self):
        """Each is slow for 0.6 s, so answers must show it at once.

        A machine that is 2.5 times slower can do half of the work that it
        usually gets at 0.8 of the capacity; more would queue up.
        """
        tally = play(1, has_slow_spells=True, uses_estimates=True)
        during, after, usual = [], [], []
        for machine in tally.machines:
            rate = _rate(machine, 0.0, 20.0)
            for start_s in machine.spells:
                if not 8.0 < start_s < 18.0:
                    continue
                end_s = start_s + uneven_work.SLOW_S
                usual.append(rate)
                during.append(_rate(machine, start_s + 0.1, end_s))
                after.append(_rate(machine, end_s + 0.3, end_s + 1.3))
        self.assertLess(sum(during), sum(usual) / 2)
        self.assertGreater(sum(after), sum(usual) / 2)


def _rate(machine, from_s, to_s):
    """Returns the work that a machine was sent per second."""
    sent = [
        work_ms
        for start_s, work_ms in machine.starts
        if from_s <= start_s < to_s
    ]
    return sum(sent) / (to_s - from_s)
