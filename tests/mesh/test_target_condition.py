"""Tests of what targets say of themselves in their answers."""

import asyncio
import unittest

from tests.mesh import small_fleet

LIMIT_PER_S = 10
WINDOW_S = 2.0
EXCESS_RATIO = 1.5
EXCESS_CALLS = 5


class TestTargetCondition(unittest.TestCase):
    def test_a_target_with_a_rate_limit_is_not_sent_more(self):
        """All nodes together keep the limit; the other target serves."""

        async def main():
            async with small_fleet.SmallFleet("a", "b", "b") as fleet:
                _, limited, other = (member.target for member in fleet.members)
                limited.work_s = other.work_s = 0.02
                limited.extra_headers = (("server-limit", f"{LIMIT_PER_S}.0"),)
                loop = asyncio.get_running_loop()
                stop_s = loop.time() + 1.0 + WINDOW_S
                starts = []
                limited.on_run = lambda *_: starts.append(loop.time())

                async def call_on(member):
                    while loop.time() < stop_s:
                        await fleet.call(member, "b.example", "/idempotent/x")

                async with asyncio.TaskGroup() as tasks:
                    for member in fleet.members * 3:
                        tasks.create_task(call_on(member))
            counted = [at for at in starts if at > stop_s - WINDOW_S]
            allowed = EXCESS_RATIO * LIMIT_PER_S * WINDOW_S + EXCESS_CALLS
            self.assertLessEqual(len(counted), allowed)
            self.assertGreater(len(counted), LIMIT_PER_S * WINDOW_S / 2)
            self.assertGreater(len(other.ran), 5 * len(starts))

        asyncio.run(main())

    def test_the_slowdown_of_a_target_reaches_callers(self):
        """It goes with the gate's report, and the cost with the call."""

        async def main():
            async with small_fleet.SmallFleet("a", "b") as fleet:
                caller, slow = fleet.members
                slow.target.work_s = 0.02
                slow.target.extra_headers = (("x-upstream-load", "1,0,9,250"),)
                for _ in range(60):
                    await fleet.call(caller, "b.example", "/idempotent/x")
                parts = caller.parts
                record = parts.members.get(slow.name)
                view = parts.placement.view(record)
                reported = view.work.slowness.reported(
                    parts.clock.monotonic_s()
                )
                return reported, slow.parts.work.errors.has_samples

        reported, has_costs = asyncio.run(main())
        self.assertGreater(reported, 2.0)
        self.assertTrue(has_costs)

    def test_a_target_that_says_it_leaves_gets_no_more_calls(self):
        """Its announcements still call it ready."""

        async def main():
            async with small_fleet.SmallFleet("a", "b", "b") as fleet:
                leaving = fleet.members[1].target
                leaving.extra_headers = (("server-leaving", "1"),)

                async def call_all():
                    for member in fleet.members * 20:
                        await fleet.call(member, "b.example", "/idempotent/x")

                await call_all()
                await leaving.announce(
                    fleet.members[1].settings.control_address
                )
                known = len(leaving.ran)
                await call_all()
                self.assertGreater(known, 0)
                self.assertEqual(len(leaving.ran), known)

        asyncio.run(main())
