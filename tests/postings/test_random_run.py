"""Seeded randomised runs of the postings."""

import collections
import unittest

from tests.postings import random_run

SEEDS = range(1, 13)


class TestRandomRun(unittest.TestCase):
    def test_no_key_runs_twice(self):
        """No key runs twice and each not-run is true, whatever fails."""
        told = collections.Counter()
        for seed in SEEDS:
            run = random_run.RandomRun(seed)
            run.execute()
            self.assertEqual(run.wrong, [], f"seed {seed}")
            self.assertGreater(run.restarts, 10)
            told += run.told
        outcomes = collections.Counter()
        for (outcome, _), count in told.items():
            outcomes[outcome] += count
        for outcome in ("answer", "not-run", "unknown", "none"):
            self.assertGreater(outcomes[outcome], 50, told)
        for failure in (
            "claim-released",
            "claim-not-made",
            "target-shed",
            "ticket-other-incarnation",
            "ticket-other-node",
            "ticket-expired",
            "postings-full",
            "peer-unreachable",
        ):
            seen = sum(n for (_, f), n in told.items() if f == failure)
            self.assertGreater(seen, 0, f"{failure} never happened: {told}")
