"""What callers get under loads that placement answers."""

import asyncio
import unittest

from tests.fakes import virtual_loop
from tests.traffic import fleet_load

# A target with 12 slots and 90 ms of work runs about 133 calls a second.
CAPACITY_PER_S = 133


def played_load(rates_per_s, *, duration_s=8.0, **options):
    """Returns what callers got, and the targets."""

    async def main():
        callers, targets, played, rng = fleet_load.four_data_centres(**options)
        await fleet_load.play(
            callers, rates_per_s, duration_s, fleet_load.route(), rng
        )
        return played, targets

    return virtual_loop.run(main)


class TestPlacementLoad(unittest.TestCase):
    def test_ordinary_load_stays_in_its_data_centre(self):
        """At half of the capacity hardly any call leaves, all are in aim."""
        played, _ = played_load([65] * 4)
        self.assertGreater(played.share("in-aim"), 0.99)
        sends = sum(played.ways.values())
        self.assertLess(played.ways["other"] / sends, 0.01)
        self.assertGreater(played.ways["dc"] / sends, 0.9)

    def test_a_busy_data_centre_uses_its_neighbour_first(self):
        """What does not fit goes within the region, not across the link."""
        played, _ = played_load([180, 40, 40, 40])
        self.assertGreater(played.share("in-aim"), 0.97)
        sends = sum(played.ways.values())
        self.assertLess(played.ways["other"] / sends, 0.05)

    def test_a_busy_region_uses_the_other_one(self):
        """When the own region is full, the other one serves the rest."""
        played, _ = played_load([190, 190, 30, 30])
        self.assertGreater(played.share("in-aim"), 0.9)
        self.assertGreater(played.ways["other"], 0)

    def test_a_slow_target_gets_less(self):
        """A target five times slower gets little of the load."""
        played, targets = played_load([60] * 4, speeds=(0.2, 1.0, 1.0, 1.0))
        self.assertGreater(played.share("in-aim"), 0.93)
        calls = {name: target.calls for name, target in targets.items()}
        self.assertLess(calls["t-dc-a"], 0.5 * calls["t-dc-b"])

    def test_a_grey_target_gets_less(self):
        """A target that fails half of its calls is left for its neighbour."""
        played, targets = played_load([60] * 4, failing=0.5)
        self.assertLess(played.share("failed"), 0.05)

    def test_overload_keeps_the_targets_busy_and_the_answers_in_time(self):
        """At twice the capacity about half is served, nearly all in aim."""
        played, targets = played_load([2 * CAPACITY_PER_S] * 4)
        served = played.share("in-aim") + played.share("late")
        self.assertGreater(served, 0.42)
        self.assertLess(played.share("late"), 0.05)


class TestUrgentRoute(unittest.TestCase):
    def test_short_urgent_calls_pass_a_long_queue(self):
        """Nested calls are served while the target's other calls queue."""

        async def main():
            callers, targets, played, rng = fleet_load.four_data_centres()
            for target in targets.values():
                target.works["nested"] = 0.022
            long_calls = fleet_load.route(aim_ms=500, timeout_ms=1000)
            nested = fleet_load.route(aim_ms=100, timeout_ms=250, name="nested")
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(
                    fleet_load.play(
                        callers,
                        [1.5 * CAPACITY_PER_S] * 4,
                        8.0,
                        long_calls,
                        rng,
                    )
                )
                short = fleet_load.Played()
                others = [caller.counting_in(short) for caller in callers]
                tasks.create_task(
                    fleet_load.play(others, [60] * 4, 8.0, nested, rng)
                )
            return played, short

        played, short = virtual_loop.run(main)
        self.assertGreater(short.share("in-aim") + short.share("late"), 0.97)
        self.assertGreater(played.share("in-aim"), 0.45)
