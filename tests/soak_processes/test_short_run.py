"""A short seeded run of real processes."""

import asyncio
import pathlib
import tempfile
import unittest

from soak import run

SEED = 3
DEADLY_SEED = 4
RESTORES_SEED = 5
READERS_SEED = 1
CHANGES_SEED = 46
NODES = 4
SECONDS = 5.0


class TestShortRun(unittest.TestCase):
    def test_all_promises_hold(self):
        """All promises hold under the faults of one seed with four nodes."""
        self.check(SEED)

    def test_all_promises_hold_with_a_request_that_crashes_targets(self):
        self.check(DEADLY_SEED, has_deadly=True)

    def test_all_promises_hold_while_the_store_is_restored(self):
        self.check(RESTORES_SEED, has_restores=True, nodes=6)

    def test_all_promises_hold_while_the_store_is_silent_to_its_readers(self):
        self.check(READERS_SEED, has_reader_faults=True, nodes=6)

    def test_all_promises_hold_while_the_configuration_changes(self):
        self.check(CHANGES_SEED, has_changes=True, nodes=6)

    def check(self, seed, *, nodes=NODES, **more):
        with tempfile.TemporaryDirectory() as scratch:
            result = asyncio.run(
                run.SoakRun(
                    seed=seed,
                    nodes=nodes,
                    seconds=SECONDS,
                    folder=pathlib.Path(scratch),
                    **more,
                ).execute()
            )
        self.assertEqual(result.findings, [], result.faults)
        self.assertIn("200:", result.summary)
