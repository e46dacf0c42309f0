"""Tests of complete nodes on a store that comes back from a copy."""

import asyncio
import unittest

from standins.mesh import operator_config
from tests.mesh import restore_run
from tests.mesh import small_fleet
from tests.mesh import test_restart

SERVICES = {"a", "b"}
AGREED_S = 5.0


def write_config(fleet, version):
    """Writes a configuration in the role of the operator."""
    fleet.store.operator_writes(
        "op", "config", operator_config.config(version, SERVICES)
    )


def versions(fleet):
    """Returns the configuration versions that the nodes run."""
    return {member.parts.config.version for member in fleet.members}


class TestRestoredStore(unittest.TestCase):
    def test_nobody_goes_back_to_an_older_configuration(self):
        """Not even a node that starts between the restore and the rewrite."""

        async def main():
            async with small_fleet.SmallFleet("a", "b", "a", "b") as fleet:
                copied = fleet.store.rows.copy()
                started = fleet.members[0]
                write_config(fleet, 5)
                await fleet.until(lambda: versions(fleet) == {5})
                for _ in range(2):
                    fleet.store.faults.is_down = True
                    await asyncio.sleep(0.3)
                    fleet.store.restore(copied)
                    fleet.store.faults.is_down = False
                    await test_restart.restart(fleet, started)
                    await fleet.until(lambda: started.parts.config.version == 5)
                    await asyncio.sleep(1.0)
                    self.assertEqual(versions(fleet), {5})
                write_config(fleet, 5)
                write_config(fleet, 6)
                async with asyncio.timeout(AGREED_S):
                    await fleet.until(lambda: versions(fleet) == {6})

        asyncio.run(main())

    def test_seeded_restores_take_nothing_back(self):
        """Seeds 3 and 7: no watch told of the restored rollout rows."""
        for seed in (3, 7):
            self.check(asyncio.run(restore_run.play(seed)))

    def test_seeded_restores_while_regions_are_cut_take_nothing_back(self):
        self.check(asyncio.run(restore_run.play(2, has_cuts=True)))

    def check(self, outcome):
        self.assertEqual(outcome.went_back, 0)
        self.assertLessEqual(outcome.agreed_s, AGREED_S)
        self.assertEqual(outcome.verdict, "completed")
