"""A short seeded run of real processes."""

import asyncio
import pathlib
import tempfile
import unittest

from soak import run

SEED = 3
DEADLY_SEED = 4
NODES = 4
SECONDS = 5.0


class TestShortRun(unittest.TestCase):
    def test_all_promises_hold(self):
        """All promises hold under the faults of one seed with four nodes."""
        self.check(SEED)

    def test_all_promises_hold_with_a_request_that_crashes_targets(self):
        self.check(DEADLY_SEED, has_deadly=True)

    def check(self, seed, *, has_deadly=False):
        with tempfile.TemporaryDirectory() as scratch:
            result = asyncio.run(
                run.SoakRun(
                    seed=seed,
                    nodes=NODES,
                    seconds=SECONDS,
                    folder=pathlib.Path(scratch),
                    has_deadly=has_deadly,
                ).execute()
            )
        self.assertEqual(result.findings, [], result.faults)
        self.assertIn("200:", result.summary)
