"""Tests of offers where many nodes send a few calls each."""

import random
import unittest

from tests.fakes import virtual_loop
from tests.placement import fleet_load

CALLERS = 60
TARGETS = 20
SLOTS = 3
WORK_S = 0.09
SPEEDS = (0.75, 0.75, 1.5)
LOAD = 0.75
OBJECTIVE_MS = 200


def run_many_callers(*, makes_offers):
    """Returns the outcomes of 20 targets of three slots at 0.75 of their load.

    Each of 60 callers hears of a target about once in two seconds.
    """

    async def main():
        rng = random.Random(5)
        targets = {}
        for index in range(TARGETS):
            record = fleet_load.member(f"t{index}", slots=SLOTS)
            targets[record.node_id] = fleet_load.LoadedTarget(
                record,
                rng,
                work_s=WORK_S,
                speed=SPEEDS[index % len(SPEEDS)],
            )
        outcomes = fleet_load.CallOutcomes()
        callers = []
        for index in range(CALLERS):
            caller = fleet_load.Caller("dc-a", "north", targets, rng, outcomes)
            caller.own = caller.own._replace(node_id=f"caller-{index}")
            caller.makes_offers = makes_offers
            callers.append(caller)
        speed = sum(target.speed for target in targets.values())
        rate_per_s = LOAD * speed * SLOTS / WORK_S / CALLERS
        await fleet_load.run_callers(
            callers,
            [rate_per_s] * CALLERS,
            8.0,
            fleet_load.route(target_latency_ms=OBJECTIVE_MS),
            rng,
        )
        return outcomes

    return virtual_loop.run(main)


class TestOffers(unittest.TestCase):
    def test_calls_find_free_slots_although_reports_are_old(self):
        """A report is older than a call takes: other callers have used it.

        Without a limit on the wait, calls queue at a target while others are
        idle, or are refused: at three quarters of the capacity, all have room.
        """
        counted = run_many_callers(makes_offers=False)
        offered = run_many_callers(makes_offers=True)
        self.assertGreater(offered.share("in-time"), 0.98)
        self.assertGreater(offered.share("in-time"), counted.share("in-time"))
