"""Tests of the schedule of calls to a version on trial."""

import unittest

from galenatack.rollouts import trial_bursts
from tests.placement import fleet_load

SHARE = 0.075
STEP_S = 0.0025


class TestTrialBursts(unittest.TestCase):
    def bursts(self, old_targets, duration_s=10.0):
        """Returns the burst, or None, of each step of a trial."""
        return [
            trial_bursts.burst_at(
                step * STEP_S, share=SHARE, old_targets=old_targets
            )
            for step in range(int(duration_s / STEP_S))
        ]

    def test_the_mean_share_is_kept(self):
        """Whatever the number of targets."""
        for old_targets in (1, 2, 4, 9, 13, 30, 92, 400):
            bursts = self.bursts(old_targets)
            mean = sum(burst.share for burst in bursts if burst) / len(bursts)
            self.assertAlmostEqual(mean, SHARE, delta=0.003)

    def test_a_new_target_gets_the_load_of_an_old_one(self):
        """A fault under load shows before all calls have moved."""
        for old_targets in (4, 9, 13, 30, 92, 400):
            for burst in filter(None, self.bursts(old_targets)):
                of_one = burst.share / burst.targets
                self.assertGreater(of_one, 0.99 / old_targets)
                self.assertLess(of_one, 2.0 / old_targets)

    def test_bursts_take_turns(self):
        """Each target of a small service is tried."""
        members = [fleet_load.member(f"n{index}") for index in range(4)]
        chosen = [
            trial_bursts.targets_of(
                trial_bursts.TrialBurst(number, 1, 0.3),
                members,
                order_revision=5,
            )[0].node_id
            for number in range(8)
        ]
        self.assertEqual(len(set(chosen[:4])), 4)
        self.assertEqual(chosen[:4], chosen[4:])
