"""Test of an evacuation through complete nodes."""

import asyncio
import unittest

from tests.mesh import small_fleet
from tests.mesh import test_restart

KEY = "evacuate/dc-1"
BOUND_S = 5.0


class TestEvacuation(unittest.TestCase):
    def test_it_holds_without_the_store_until_its_row_is_deleted(self):
        """Also at a node that starts meanwhile, and for callers inside."""

        async def main():
            async with small_fleet.SmallFleet("a", "b", "b", "a") as fleet:
                outside, evacuated, used, inside = fleet.members

                async def until_all_know(*, is_evacuated):
                    async with asyncio.timeout(BOUND_S):
                        await fleet.until(
                            lambda: all(
                                is_evacuated
                                == member.parts.evacuations.has_evacuated(
                                    "dc-1"
                                )
                                for member in fleet.members
                            )
                        )

                async def call_all():
                    for member in (outside, inside, evacuated) * 5:
                        answer = await fleet.call(
                            member, "b.example", "/idempotent/x"
                        )
                        self.assertEqual(answer.status, 200)

                fleet.store.operator_writes("op", KEY, b"{}")
                await until_all_know(is_evacuated=True)
                fleet.store.faults.is_down = True
                await test_restart.restart(fleet, outside)
                await until_all_know(is_evacuated=True)
                await fleet.until(lambda: outside.parts.config.version)
                await call_all()
                self.assertEqual(evacuated.target.ran, [])
                self.assertEqual(len(used.target.ran), 15)
                fleet.store.faults.is_down = False
                fleet.store.commit([], [], [("op", "", KEY)])
                await until_all_know(is_evacuated=False)
                await call_all()
                self.assertNotEqual(evacuated.target.ran, [])

        asyncio.run(main())
