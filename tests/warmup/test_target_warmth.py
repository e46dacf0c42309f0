"""Tests of when a gate takes its target for cold."""

import asyncio
import unittest
from unittest import mock

from galenatack.model import warm_up
from galenatack.settings import fleet_bounds
from galenatack.warmup import announced_warmth
from galenatack.warmup import target_warmth
from galenatack.warmup import warmth_probe
from tests.admission import test_target_registry
from tests.fakes import manual_clock
from tests.fakes import virtual_loop

WARM_UP = warm_up.WarmUp(10_000, 20.0, probe_path="/h")
BOUNDS = fleet_bounds.FleetBounds()
MOST_CALLS = WARM_UP.rate_per_s * BOUNDS.cold_overshoot + BOUNDS.cold_slack


class TestTargetWarmth(unittest.TestCase):
    def setUp(self):
        self.clock = manual_clock.ManualClock()
        self.warmth = self.make()

    def make(self, *, config=WARM_UP):
        """Returns the warmth of a target that has just been announced."""
        warmth = target_warmth.TargetWarmth(clock=self.clock, bounds=BOUNDS)
        warmth.configure(config)
        warmth.start()
        return warmth

    def test_a_gate_that_has_just_started_assumes_a_cold_target(self):
        """Until the target says that it is warm, and not for ever."""
        self.assertTrue(self.warmth.is_cold)
        self.assertTrue(self.warmth.wants_probe)
        self.warmth.answer(0, starts=None)
        self.assertFalse(self.warmth.is_cold)
        silent = self.make()
        self.clock.advance(WARM_UP.duration_ms / 1000)
        self.assertFalse(silent.is_cold)

    def test_a_target_is_cold_for_as_long_as_it_says(self):
        """An earlier start of calls would crash it."""
        self.warmth.answer(4000, starts=None)
        self.clock.advance(3.9)
        self.assertTrue(self.warmth.is_cold)
        self.clock.advance(0.1)
        self.assertFalse(self.warmth.is_cold)

    def test_a_wait_that_rounding_leaves_is_none(self):
        """The probe would wait again and again without time passing."""
        self.warmth.answer(4000, starts=None)
        self.clock.advance(target_warmth.COLD_PROBE_S - 1e-15)
        self.assertTrue(self.warmth.wants_probe)

    def test_a_cold_target_that_is_silent_is_asked_each_second(self):
        """A wrong time that it stated once would otherwise last."""
        self.warmth.answer(4000, starts=None)
        self.clock.advance(target_warmth.COLD_PROBE_S - 0.01)
        self.assertFalse(self.warmth.wants_probe)
        self.clock.advance(0.02)
        self.assertTrue(self.warmth.wants_probe)
        self.warmth.answer(0, starts=None)
        self.assertFalse(self.warmth.is_cold)
        self.assertFalse(self.warmth.wants_probe)

    def test_a_second_announcement_of_a_shorter_time_counts(self):
        """Without a health path, a wrong long time would otherwise last."""
        self.warmth.answer(9000, starts=None)
        self.clock.advance(1.5)
        self.warmth.announce(500)
        self.assertTrue(self.warmth.is_cold)
        self.clock.advance(1.5)
        self.warmth.announce(500)
        self.assertTrue(self.warmth.is_cold)
        self.clock.advance(0.5)
        self.assertFalse(self.warmth.is_cold)

    def test_announcements_around_a_longer_one_do_not_add_up(self):
        """A target that starts again and again would be taken for warm."""
        self.warmth.answer(4000, starts=None)
        for left_ms in (0, 9000, 0):
            self.clock.advance(1.5)
            self.warmth.announce(left_ms)
        self.assertTrue(self.warmth.is_cold)

    def test_a_late_announcement_does_not_warm_a_target(self):
        """It was made before the target turned cold."""
        self.warmth.announce(0)
        self.assertTrue(self.warmth.is_cold)
        self.warmth.answer(4000, starts=None)
        self.clock.advance(2.0)
        self.warmth.announce(0)
        self.assertTrue(self.warmth.is_cold)

    def test_an_answer_that_crosses_a_statement_does_not_warm_a_target(self):
        """Answers of earlier calls arrive beside the announcement."""
        self.warmth.answer(0, starts=None)
        self.warmth.announce(4000)
        self.warmth.answer(0, starts=None)
        self.assertTrue(self.warmth.is_cold)
        self.clock.advance(target_warmth.REORDERED_S)
        self.warmth.answer(0, starts=None)
        self.assertFalse(self.warmth.is_cold)

    def test_the_first_configuration_bounds_an_earlier_long_time(self):
        """A gate without one cannot know how long a warm-up may last."""
        warmth = target_warmth.TargetWarmth(clock=self.clock, bounds=BOUNDS)
        warmth.announce(99_999_999)
        warmth.configure(WARM_UP)
        most_ms = WARM_UP.duration_ms + target_warmth.LEFT_MARGIN_MS
        self.clock.advance(most_ms / 1000)
        self.assertFalse(warmth.is_cold)

    def test_a_probe_of_before_an_event_tells_nothing_of_after_it(self):
        """The target may have started again while the probe was answered."""
        epoch = self.warmth.epoch
        self.warmth.assume("test")
        self.warmth.answer(0, epoch=epoch, starts=0)
        self.assertTrue(self.warmth.is_cold)

    def test_without_a_probe_an_announcement_settles_it(self):
        """Nothing else would, for the whole time of a warm-up."""
        warmth = self.make(config=WARM_UP._replace(probe_path=""))
        self.assertFalse(warmth.wants_probe)
        warmth.announce(0)
        self.assertFalse(warmth.is_cold)

    def test_an_announcement_settles_it_if_no_probe_is_answered(self):
        """A target whose health path hangs would stay limited for long."""
        self.clock.advance(target_warmth.LATE_ANNOUNCEMENT_S)
        self.warmth.announce(0)
        self.assertFalse(self.warmth.is_cold)

    def test_a_warm_target_is_asked_after_a_share_of_the_calls(self):
        """One that turns cold is noticed before it has got too many."""
        self.warmth.answer(0, starts=None)
        self.assertFalse(self.warmth.wants_probe)
        while not self.warmth.wants_probe:
            self.warmth.record_start()
        self.assertLess(self.warmth.starts, MOST_CALLS / 2)

    def test_a_warm_target_with_few_calls_is_not_asked(self):
        """Each probe is billed, and these calls keep the bound anyway."""
        warmth = self.make(config=WARM_UP._replace(rate_per_s=5.3))
        warmth.answer(0, starts=None)
        for _ in range(60):
            self.clock.advance(1.0)
            warmth.record_start()
            self.assertFalse(warmth.wants_probe)

    def test_announcements_count_if_probes_are_not_answered(self):
        """A broken health path would be asked as long as calls come."""
        self.warmth.answer(0, starts=None)
        while not self.warmth.wants_probe:
            self.warmth.record_start()
        self.warmth.announce(0)
        self.assertTrue(self.warmth.wants_probe)
        self.warmth.is_health_broken = True
        self.warmth.announce(0)
        self.assertFalse(self.warmth.wants_probe)

    def test_a_target_that_turns_cold_is_told_once(self):
        """Calls that wait for it are refused then."""
        turned_cold = mock.Mock()
        self.warmth.subscribe(turned_cold)
        self.warmth.answer(0, starts=None)
        self.warmth.announce(4000)
        self.clock.advance(1.0)
        self.warmth.announce(4000)
        self.assertEqual(turned_cold.call_count, 1)

    def test_an_absurd_time_does_not_last(self):
        """One malformed answer would otherwise limit a target for ever."""
        most_ms = WARM_UP.duration_ms + target_warmth.LEFT_MARGIN_MS
        for duration_ms, lasts_ms in (
            (WARM_UP.duration_ms, most_ms),
            (0, target_warmth.MAX_LEFT_MS),
        ):
            warmth = self.make(config=WARM_UP._replace(duration_ms=duration_ms))
            warmth.answer(10**15, starts=None)
            self.clock.advance(lasts_ms / 1000 - 0.1)
            self.assertTrue(warmth.is_cold)
            self.clock.advance(0.1)
            self.assertFalse(warmth.is_cold)


class TestAnnouncedWarmth(unittest.TestCase):
    def test_only_announcements_that_are_applied_count(self):
        """One that is out of date says how the target was before."""
        for is_applied in (True, False):
            warmth = mock.Mock()
            registry = mock.Mock(
                announce=mock.AsyncMock(return_value=is_applied)
            )
            asyncio.run(
                announced_warmth.AnnouncedWarmth(
                    registry=registry, warmth=warmth
                ).announce(
                    test_target_registry.announcement(warm_up_left_ms=700)
                )
            )
            expected = [mock.call(700)] if is_applied else []
            self.assertEqual(warmth.announce.mock_calls, expected)


class TestWarmthProbe(unittest.TestCase):
    def run_probe(self, ask, duration_s, **options):
        """Returns a warmth, and the probe after it has run for a while."""

        async def main():
            clock = virtual_loop.LoopClock()
            warmth = target_warmth.TargetWarmth(
                clock=clock, bounds=BOUNDS, **options
            )
            warmth.configure(WARM_UP)
            probe = warmth_probe.WarmthProbe(
                warmth=warmth, ask=ask, clock=clock
            )
            task = asyncio.create_task(probe.run())
            warmth.start()
            await asyncio.sleep(duration_s)
            task.cancel()
            return warmth.is_cold, probe

        return virtual_loop.run(main)

    def test_an_assumption_is_settled_by_one_probe(self):
        """A warm target gets its calls again within milliseconds."""
        is_cold, probe = self.run_probe(mock.AsyncMock(return_value=0), 0.01)
        self.assertFalse(is_cold)
        self.assertEqual(probe.probes, 1)

    def test_a_probe_ends_a_wrong_long_time(self):
        """A second after the last statement, without any call."""
        left_ms = mock.AsyncMock(side_effect=[99_999_999, 0])
        is_cold, probe = self.run_probe(left_ms, 1.1)
        self.assertFalse(is_cold)
        self.assertEqual(probe.probes, 2)

    def test_a_broken_health_path_is_asked_as_often_as_targets_announce(self):
        """Each probe is billed; a path without the header answers at once."""
        duration_s = 9.0
        _, probe = self.run_probe(mock.AsyncMock(return_value=None), duration_s)
        slow_probes = duration_s / warmth_probe.BROKEN_INTERVAL_S
        self.assertLessEqual(
            probe.probes, warmth_probe.FAST_FAILURES + slow_probes
        )
        self.assertGreaterEqual(probe.probes, slow_probes)

    def test_an_answer_ends_the_longer_interval(self):
        """The next target that starts is asked at once."""
        left_ms = mock.AsyncMock(side_effect=[None] * 5 + [2000] * 20)
        _, probe = self.run_probe(left_ms, 5.0)
        self.assertEqual(probe.failures, 5)
        self.assertGreaterEqual(probe.probes, 5 + 2)

    def test_a_target_in_an_evacuated_data_centre_is_not_probed(self):
        """Its targets get nothing; neither a start nor a cold one matters."""
        ask = mock.AsyncMock(return_value=None)
        _, probe = self.run_probe(ask, 3.0, is_evacuated=lambda: True)
        self.assertEqual(probe.probes, 0)

    def test_the_end_of_an_evacuation_is_followed_by_a_probe(self):
        """Its targets may have started again meanwhile."""
        evacuated = mock.Mock(return_value=True)
        warmth = target_warmth.TargetWarmth(
            clock=manual_clock.ManualClock(),
            bounds=BOUNDS,
            is_evacuated=evacuated,
        )
        warmth.configure(WARM_UP)
        self.assertFalse(warmth.probe_wanted.is_set())
        evacuated.return_value = False
        warmth.assume("evacuation-ended")
        self.assertTrue(warmth.probe_wanted.is_set())

    def test_a_target_that_does_not_answer_is_not_flooded_with_probes(self):
        """One at a time, each given up after half a second."""

        async def hang(path):
            del path
            await asyncio.Event().wait()

        _, probe = self.run_probe(hang, 3.0)
        self.assertLessEqual(probe.probes, 4)
        self.assertEqual(probe.failures, probe.probes)
