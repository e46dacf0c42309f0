"""Seeded randomised runs of complete nodes."""

import unittest

from tests.whole import whole_run

SEEDS = (1, 2, 4)
SHORT_ROUND_S = 12.0


class TestWholeRun(unittest.TestCase):
    def test_invariants_hold(self):
        """All invariants hold when faults of all kinds are combined."""
        for seed in SEEDS:
            run = whole_run.WholeRun(seed, rounds=1)
            run.execute()
            for kind in ("crash", "cut", "planned stop", "platform outage"):
                self.assertGreater(run.world.faults[kind], 0, kind)
            self.assertGreater(len(run.world.ledger.starts), 50)

    def test_region_behind_a_verdict(self):
        """A partitioned region may still run a move that has ended elsewhere.

        Guards against a check that compares verdicts of nodes which cannot
        reach each other; a node must not run a move whose verdict it has
        already seen.
        """
        done = 0
        for seed in (305, 301):
            run = whole_run.WholeRun(seed, rounds=2)
            run.execute()
            done += run.world.verdicts()["done"]
        self.assertGreater(done, 0)

    def test_same_seed_same_run(self):
        """Two runs with the same seed produce the same events."""
        traces = []
        for _ in range(2):
            run = whole_run.WholeRun(3, rounds=1, round_s=SHORT_ROUND_S)
            run.execute()
            traces.append(run.world.trace)
        self.assertGreater(len(traces[0]), 50)
        self.assertEqual(traces[0], traces[1])
