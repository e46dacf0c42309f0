"""Seeded random runs of postings with failing nodes and table."""

import collections
import unittest

from tests.postings import random_run

SEEDS = range(1, 13)


class TestRandomRun(unittest.TestCase):
    def test_no_key_runs_twice(self):
        """No key runs twice and each `not-run` is correct, whatever fails."""
        results = collections.Counter()
        for seed in SEEDS:
            run = random_run.RandomRun(seed)
            run.execute()
            self.assertEqual(run.violations, [], f"seed {seed}")
            self.assertGreater(run.restarts, 10)
            results += run.outcomes
        outcomes = collections.Counter()
        for (outcome, _), count in results.items():
            outcomes[outcome] += count
        for outcome in ("answer", "not-run", "unknown", "none"):
            self.assertGreater(outcomes[outcome], 50, results)
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
            seen = sum(n for (_, f), n in results.items() if f == failure)
            self.assertGreater(seen, 0, f"{failure} never happened: {results}")
