"""Test of a cold target through complete nodes."""

import asyncio
import time
import unittest

from standins.mesh import operator_config
from tests.mesh import small_fleet
from tests.warmup import test_cold_admission

RATE_PER_S = 10.0
COLD_S = 5.0
WORK_S = 0.03


class TestColdTarget(unittest.TestCase):
    def test_a_target_that_turns_cold_under_load_keeps_its_bound(self):
        """No answer to a call says so; a node is cut off meanwhile."""

        async def main():
            async with small_fleet.SmallFleet("a", "b", "b", "a") as fleet:
                fleet.store.operator_writes(
                    "op",
                    "config",
                    operator_config.config(
                        3, {"a", "b"}, warmup_per_s=RATE_PER_S
                    ),
                )
                await fleet.until(
                    lambda: all(
                        member.parts.config.version == 3
                        for member in fleet.members
                    )
                )
                cold, other = fleet.members[1].target, fleet.members[2].target
                cold.work_s = other.work_s = WORK_S
                arrivals_s = []
                cold.on_run = lambda *_: arrivals_s.append(time.monotonic())
                began_s = time.monotonic()
                turned_s = began_s + 1.0

                async def call_on(member):
                    while time.monotonic() < turned_s + COLD_S:
                        await fleet.call(member, "b.example", "/idempotent/x")

                async def trouble():
                    await asyncio.sleep(1.0)
                    cold.cold_until_s = turned_s + COLD_S + 1.0
                    await asyncio.sleep(1.5)
                    fleet.cut_border()
                    await asyncio.sleep(1.5)
                    fleet.cut_border(is_cut=False)

                async with asyncio.TaskGroup() as tasks:
                    tasks.create_task(trouble())
                    for member in fleet.members * 3:
                        tasks.create_task(call_on(member))
            warm = [at_s for at_s in arrivals_s if at_s < turned_s]
            since = [at_s for at_s in arrivals_s if at_s >= turned_s]
            self.assertGreater(len(warm), RATE_PER_S * 3)
            self.assertLessEqual(
                test_cold_admission.most_in_a_second(since),
                test_cold_admission.allowed(RATE_PER_S),
            )
            self.assertGreater(len(since), RATE_PER_S)

        asyncio.run(main())
