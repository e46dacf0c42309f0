"""Tests of orders and progress after the store was restored from a copy."""

import unittest
from unittest import mock

from galenatack.model import rollout_order
from galenatack.model import rollout_phase
from galenatack.model import rollout_progress
from galenatack.model import store_revision
from galenatack.rollouts import rollout_registry
from tests.fakes import manual_clock

Phase = rollout_phase.RolloutPhase


def order(number, *, era=0, version="v2"):
    """Returns an order of the service `s`."""
    row_revision = store_revision.make(era, number)
    return rollout_order.RolloutOrder("s", version, 12, number, row_revision)


def progress(order_number, phase, number, *, era=0, version="v2"):
    """Returns progress of an order."""
    revision = store_revision.make(era, number)
    return rollout_progress.RolloutProgress(
        "s", version, order_number, phase.value, "", "n", revision
    )


class TestRolloutRegistry(unittest.TestCase):
    def setUp(self):
        self.registry = rollout_registry.RolloutRegistry(
            clock=manual_clock.ManualClock(),
            withdrawn=mock.Mock(is_withdrawn=lambda *_: False),
        )
        self.registry.update_order(order(3, version="v1"))
        self.registry.update_progress(progress(3, Phase.DONE, 4, version="v1"))
        self.registry.update_order(order(5))
        self.registry.update_progress(progress(5, Phase.TAKEN_BACK, 9))

    def check_taken_back(self):
        """Checks that the latest order is not carried out again."""
        self.assertEqual(self.registry.active(), ())
        self.assertTrue(self.registry.is_withdrawn("s", "v2"))

    def test_a_version_that_was_taken_back_may_be_ordered_again(self):
        """Also if the new order arrives before the former verdict."""
        started = rollout_registry.RolloutRegistry(
            clock=manual_clock.ManualClock(),
            withdrawn=mock.Mock(is_withdrawn=lambda *_: False),
        )
        started.update_order(order(12))
        started.update_progress(progress(5, Phase.TAKEN_BACK, 9))
        self.assertFalse(started.is_withdrawn("s", "v2"))

    def test_a_finished_order_does_not_start_over(self):
        """The restored store shows it, or an order before it, or none."""
        self.registry.update_order(order(5, era=1))
        self.check_taken_back()
        self.registry.remove_order("s", store_revision.make(2, 4))
        self.registry.update_order(order(3, era=2, version="v1"))
        self.check_taken_back()

    def test_an_order_that_is_written_again_is_the_same(self):
        """It has another number; only the next one is new."""
        self.registry.update_order(order(3, era=1, version="v1"))
        self.registry.update_order(order(4, era=1))
        self.check_taken_back()
        ((lost, _),) = self.registry.lost()
        self.assertEqual((lost.order_revision, lost.phase), (4, "taken-back"))
        self.registry.update_order(order(6, era=1))
        self.assertEqual(self.registry.active(), (order(6, era=1),))

    def test_another_order_after_the_restore_is_new(self):
        """Its number may be lower than one of the former era."""
        self.registry.update_order(order(4, era=1, version="v3"))
        self.assertEqual(self.registry.active_order("s").version, "v3")

    def test_restored_progress_is_to_be_written_again(self):
        """The write is conditional on the row of the restored store."""
        self.registry.update_progress(progress(5, Phase.TRIAL, 7, era=1))
        self.check_taken_back()
        self.assertEqual(len(self.registry.lost()), 1)
        restored = store_revision.make(1, 7)
        self.assertEqual(self.registry.known_revision("s"), restored)
        self.registry.remove_progress("s", store_revision.make(2, 8))
        self.assertEqual(self.registry.known_revision("s"), 0)
        self.registry.update_progress(progress(5, Phase.TAKEN_BACK, 9, era=2))
        self.assertEqual(self.registry.lost(), ())

    def test_a_node_that_starts_meanwhile_learns_what_was_lost(self):
        """Peers send it the rows that the store has lost."""
        started = rollout_registry.RolloutRegistry(
            clock=manual_clock.ManualClock(),
            withdrawn=mock.Mock(is_withdrawn=lambda *_: False),
        )
        started.update_order(order(3, era=1, version="v1"))
        started.update_progress(progress(3, Phase.DONE, 4, era=1, version="v1"))
        started.update_order(order(5))
        started.update_progress(progress(5, Phase.TAKEN_BACK, 9))
        self.registry = started
        self.check_taken_back()
