"""A short seeded run of real processes."""

import asyncio
import pathlib
import tempfile
import unittest

from soak import run

SEED = 3
NODES = 4
SECONDS = 5.0


class TestShortRun(unittest.TestCase):
    def test_all_promises_hold(self):
        """All promises hold under the faults of one seed with four nodes."""
        with tempfile.TemporaryDirectory() as scratch:
            result = asyncio.run(
                run.SoakRun(
                    seed=SEED,
                    nodes=NODES,
                    seconds=SECONDS,
                    folder=pathlib.Path(scratch),
                ).execute()
            )
        self.assertEqual(result.findings, [], result.faults)
        self.assertIn("200:", result.summary)
