"""Tests of target placement under uneven load and overload."""

import asyncio
import unittest

from tests.fakes import virtual_loop
from tests.placement import fleet_load

# A target with 12 slots and 90 ms of work runs about 133 calls per second.
CAPACITY_PER_S = 133


def run_load(rates_per_s, *, duration_s=8.0, **options):
    """Returns the outcomes of the calls, and the targets."""

    async def main():
        callers, targets, outcomes, rng = fleet_load.four_data_centres(
            **options
        )
        await fleet_load.run_callers(
            callers, rates_per_s, duration_s, fleet_load.route(), rng
        )
        return outcomes, targets

    return virtual_loop.run(main)


class TestPlacementLoad(unittest.TestCase):
    def test_ordinary_load_stays_in_its_data_centre(self):
        """At half of the capacity, calls stay local and are in time."""
        outcomes, _ = run_load([65] * 4)
        self.assertGreater(outcomes.share("in-time"), 0.99)
        sends = sum(outcomes.distances.values())
        self.assertLess(outcomes.distances["other"] / sends, 0.01)
        self.assertGreater(outcomes.distances["dc"] / sends, 0.9)

    def test_a_busy_data_centre_uses_its_neighbour_first(self):
        """Excess calls stay in the region."""
        outcomes, _ = run_load([180, 40, 40, 40])
        self.assertGreater(outcomes.share("in-time"), 0.97)
        sends = sum(outcomes.distances.values())
        self.assertLess(outcomes.distances["other"] / sends, 0.05)

    def test_a_busy_region_uses_the_other_one(self):
        """Excess calls of a full region go to the other one."""
        outcomes, _ = run_load([190, 190, 30, 30])
        self.assertGreater(outcomes.share("in-time"), 0.9)
        self.assertGreater(outcomes.distances["other"], 0)

    def test_a_slow_target_gets_less(self):
        """A target that is five times slower gets a small share."""
        outcomes, targets = run_load([60] * 4, speeds=(0.2, 1.0, 1.0, 1.0))
        self.assertGreater(outcomes.share("in-time"), 0.93)
        calls = {name: target.calls for name, target in targets.items()}
        self.assertLess(calls["t-dc-a"], 0.5 * calls["t-dc-b"])

    def test_a_partly_failing_target_gets_less(self):
        """Calls move away from a target that fails half of them."""
        outcomes, targets = run_load([60] * 4, failure_share=0.5)
        self.assertLess(outcomes.share("failed"), 0.05)

    def test_overload_keeps_the_targets_busy_and_the_answers_in_time(self):
        """At twice the capacity, about half is served, nearly all in time."""
        outcomes, targets = run_load([2 * CAPACITY_PER_S] * 4)
        served = outcomes.share("in-time") + outcomes.share("late")
        self.assertGreater(served, 0.42)
        self.assertLess(outcomes.share("late"), 0.05)


class TestUrgentRoute(unittest.TestCase):
    def test_short_urgent_calls_pass_a_long_queue(self):
        """Nested calls are served while other calls of the target wait."""

        async def main():
            callers, targets, outcomes, rng = fleet_load.four_data_centres()
            for target in targets.values():
                target.route_work_s["nested"] = 0.022
            long_calls = fleet_load.route(
                target_latency_ms=500, timeout_ms=1000
            )
            nested = fleet_load.route(
                target_latency_ms=100, timeout_ms=250, name="nested"
            )
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(
                    fleet_load.run_callers(
                        callers,
                        [1.5 * CAPACITY_PER_S] * 4,
                        8.0,
                        long_calls,
                        rng,
                    )
                )
                short = fleet_load.CallOutcomes()
                others = [caller.counting_in(short) for caller in callers]
                tasks.create_task(
                    fleet_load.run_callers(others, [60] * 4, 8.0, nested, rng)
                )
            return outcomes, short

        outcomes, short = virtual_loop.run(main)
        self.assertGreater(short.share("in-time") + short.share("late"), 0.97)
        self.assertGreater(outcomes.share("in-time"), 0.45)
