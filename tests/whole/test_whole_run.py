"""Seeded randomised runs of whole nodes."""

import unittest

from tests.whole import whole_run

SEEDS = (1, 2, 4)
SHORT_ROUND_S = 12.0


class TestWholeRun(unittest.TestCase):
    def test_invariants_hold(self):
        """All invariants hold when faults of all kinds come together."""
        for seed in SEEDS:
            run = whole_run.WholeRun(seed, rounds=1)
            run.execute()
            for kind in ("crash", "cut", "planned stop", "platform outage"):
                self.assertGreater(run.world.faults[kind], 0, kind)
            self.assertGreater(len(run.world.ledger.starts), 50)

    def test_same_seed_same_run(self):
        """Two runs with one seed agree event by event."""
        traces = []
        for _ in range(2):
            run = whole_run.WholeRun(3, rounds=1, round_s=SHORT_ROUND_S)
            run.execute()
            traces.append(run.world.trace)
        self.assertGreater(len(traces[0]), 50)
        self.assertEqual(traces[0], traces[1])
