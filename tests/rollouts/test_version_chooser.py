"""Tests of the version of a call whose homes leave only some targets."""

import unittest
from unittest import mock

from galenatack import exceptions
from galenatack.model import rollout_order
from galenatack.model import rollout_phase
from galenatack.rollouts import trial_share
from galenatack.rollouts import version_chooser
from tests.fakes import manual_clock
from tests.placement import fleet_load

SHARE = 0.075
SLACK = 5
"""Calls beyond the share: one for the order and one for each burst."""

ORDER = rollout_order.RolloutOrder("s", "v2", 12_000, 5)
OLD = {"v1": tuple(fleet_load.member(f"old{n}") for n in range(4))}
NEW = {"v2": tuple(fleet_load.member(f"new{n}") for n in range(4))}
ALL = OLD | NEW


class TestVersionChooser(unittest.TestCase):
    def setUp(self):
        self.clock = manual_clock.ManualClock()
        self.registry = mock.Mock(
            is_withdrawn=lambda *_: False,
            active_order=lambda _: ORDER,
            settled_version=lambda _: "",
            phase=lambda _: rollout_phase.RolloutPhase.TRIAL,
            age_s=lambda _: self.clock.monotonic_s(),
        )
        self.chooser = version_chooser.VersionChooser(
            registry=self.registry,
            share=trial_share.TrialShare(trial_share=SHARE),
            clock=self.clock,
        )

    def choose(self, targets, *, is_retry=False, everywhere=ALL):
        """Returns the groups of targets for a call."""
        return self.chooser.choose(
            "s", targets, is_retry=is_retry, everywhere=everywhere
        )

    def test_a_trial_keeps_its_share_if_only_its_targets_are_permitted(self):
        """A faulty version would otherwise get all calls of a home."""
        calls, admitted = 1000, 0
        for _ in range(calls):
            self.clock.advance(0.01)
            try:
                (group,) = self.choose(NEW)
            except exceptions.NoPermittedTargetError as error:
                self.assertGreater(error.retry_after_ms, 0)
                continue
            admitted += 1
            self.assertLessEqual(set(group), set(NEW["v2"]))
        self.assertLessEqual(admitted, SHARE * calls + SLACK)
        self.assertGreaterEqual(admitted, SHARE * calls * 0.5)

    def test_a_retry_is_not_sent_to_a_trial_that_alone_is_permitted(self):
        """It would run on the version that may have failed it."""
        with self.assertRaises(exceptions.NoPermittedTargetError):
            self.choose(NEW, is_retry=True)

    def test_the_only_version_of_a_service_gets_all_calls(self):
        """Also those that have an order: there is nothing to fall back on."""
        for is_retry in (False, True):
            groups = self.choose(NEW, is_retry=is_retry, everywhere=NEW)
            self.assertEqual(groups, (list(NEW["v2"]),))

    def test_after_the_trial_a_permitted_version_gets_its_calls(self):
        """They would be refused although the version has passed."""
        self.registry.phase = lambda _: rollout_phase.RolloutPhase.SHIFT
        for _ in range(50):
            self.assertEqual(self.choose(NEW), (list(NEW["v2"]),))

    def test_versions_are_known_before_they_are_permitted(self):
        """The end of an evacuation would make an old version look new."""
        self.registry.active_order = lambda _: None
        third = {"v3": (fleet_load.member("third"),)}
        self.choose(OLD, everywhere=ALL)
        self.clock.advance(version_chooser.UNKNOWN_VERSION_DELAY_S / 2)
        everywhere = ALL | third
        (group,) = self.choose(everywhere, everywhere=everywhere)
        self.assertEqual(group, [*OLD["v1"], *NEW["v2"]])
