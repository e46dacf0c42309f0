"""Tests of late and repeated announcements and of target restarts."""

import unittest

from galenatack.admission import target_registry
from galenatack.model import target_announcement
from galenatack.model import target_state
from tests.fakes import manual_clock
from tests.placement import fleet_load

READY = target_state.TargetState.READY.value
DRAINING = target_state.TargetState.DRAINING.value


def announcement(
    target_id="i-1", *, born_ms=100, sequence=1, state=READY, **changes
):
    """Returns an announcement with ordinary figures."""
    return target_announcement.TargetAnnouncement(
        target_id=target_id,
        service="s",
        version="v1",
        slots=12,
        state=state,
        warm_up_left_ms=0,
        born_ms=born_ms,
        sequence=sequence,
    )._replace(**changes)


class TestTargetRegistry(unittest.TestCase):
    def setUp(self):
        self.clock = manual_clock.ManualClock()
        self.changes = 0
        self.registry = target_registry.TargetRegistry(
            service="s",
            clock=self.clock,
            drain_notice_s=1.0,
            on_changed=self.count,
        )

    def count(self):
        """Counts the reported changes."""
        self.changes += 1

    def test_a_late_announcement_does_not_undo_draining(self):
        """An older sequence number of the same incarnation is ignored."""
        self.registry.announce(announcement(sequence=5, state=DRAINING))
        self.assertFalse(self.registry.announce(announcement(sequence=4)))
        self.assertEqual(self.registry.state, DRAINING)

    def test_a_target_that_said_it_leaves_does_so_until_it_starts_again(self):
        """Later announcements of the same incarnation do not undo it."""
        self.registry.announce(announcement(sequence=1))
        self.registry.note_leaving("i-2")
        self.assertEqual(self.registry.state, READY)
        self.registry.note_leaving("i-1")
        self.registry.announce(announcement(sequence=2))
        self.assertEqual(self.registry.state, DRAINING)
        self.clock.advance(1.5)
        self.assertFalse(self.registry.is_accepting())
        self.registry.announce(announcement(born_ms=200))
        self.assertTrue(self.registry.is_accepting())

    def restore(self, state, *, sequence=5, target_id="i-1"):
        """Applies the record of a previous run of the node."""
        self.registry.restore(
            fleet_load.member("n")._replace(
                service="s",
                version="v1",
                target_id=target_id,
                target_state=state,
                target_born_ms=100,
                target_sequence=sequence,
            )
        )

    def test_a_restarted_node_does_not_use_a_target_that_had_left(self):
        """A late announcement must not bring it back."""
        self.registry.announce(announcement(sequence=7))
        self.restore(target_state.TargetState.GONE.value)
        self.assertEqual(
            self.registry.state, target_state.TargetState.GONE.value
        )
        self.assertFalse(self.registry.announce(announcement(sequence=8)))
        # The same identifier may be used by a target that starts again.
        self.assertTrue(self.registry.announce(announcement(born_ms=200)))

    def test_a_restarted_node_learns_of_a_departure_before_it_hears_of_it(self):
        """Whatever arrives first, the target stays gone."""
        self.restore(target_state.TargetState.GONE.value)
        self.assertFalse(self.registry.announce(announcement(sequence=9)))
        self.assertFalse(self.registry.is_accepting())

    def test_a_restarted_node_keeps_a_target_draining(self):
        """An announcement from before the notice changes nothing."""
        self.registry.announce(announcement(sequence=4))
        self.restore(DRAINING)
        self.assertFalse(self.registry.announce(announcement(sequence=4)))
        self.assertEqual(self.registry.state, DRAINING)

    def test_a_restarted_node_does_not_begin_the_notice_time_anew(self):
        """The target may have been leaving for long, whoever says so first."""
        self.registry.announce(announcement(sequence=8, state=DRAINING))
        self.assertFalse(self.registry.is_accepting())
        for state in (DRAINING, target_state.TargetState.GONE.value):
            self.setUp()
            self.registry.announce(announcement(sequence=1))
            self.restore(state)
            self.assertFalse(self.registry.is_accepting())

    def test_a_restarted_node_uses_its_target_at_once(self):
        """It does not wait for the next announcement."""
        self.restore(READY)
        self.assertTrue(self.registry.is_accepting())
        self.assertEqual(self.registry.current.target_id, "i-1")

    def test_a_newer_announcement_wins_over_the_previous_run(self):
        """The target may have changed while the node was down."""
        self.registry.announce(announcement("i-2", born_ms=300))
        self.restore(READY)
        self.assertEqual(self.registry.current.target_id, "i-2")

    def test_a_late_announcement_of_a_dead_target_is_ignored(self):
        """A heartbeat delayed by a partition does not replace the target."""
        self.registry.announce(announcement("i-2", born_ms=200))
        self.assertFalse(
            self.registry.announce(
                announcement("i-1", born_ms=100, sequence=99)
            )
        )
        self.assertEqual(self.registry.current.target_id, "i-2")

    def test_a_target_that_restarts_under_its_id_is_accepted(self):
        """A later start time begins a new incarnation at sequence 1."""
        self.registry.announce(announcement(born_ms=100, sequence=50))
        self.assertTrue(
            self.registry.announce(announcement(born_ms=300, sequence=1))
        )

    def test_a_start_in_the_far_future_does_not_hide_the_target(self):
        """Another writer may have announced it."""
        odd = announcement("i-2", born_ms=99_999_999_999_999_999)
        self.assertFalse(self.registry.announce(odd))
        self.assertTrue(self.registry.announce(announcement()))

    def test_a_target_that_left_stays_gone(self):
        """An announcement that arrives after the leave is ignored."""
        self.registry.announce(announcement(sequence=1))
        self.registry.leave("i-1", 100)
        self.assertFalse(self.registry.announce(announcement(sequence=2)))
        self.assertEqual(self.registry.state, target_state.TargetState.GONE)

    def test_a_target_that_left_before_it_was_known_stays_gone(self):
        """A restarted node took it from the record of its run before."""
        for born_ms in (0, 100):
            self.setUp()
            self.clock.advance(10.0)
            self.registry.leave("i-1", born_ms)
            self.restore(READY)
            self.assertFalse(self.registry.is_accepting())
            self.assertFalse(self.registry.announce(announcement(sequence=9)))
            self.assertEqual(self.changes, 1)
            self.assertEqual(self.registry.state, target_state.TargetState.GONE)
            # Others may start at the address, also under the same identifier.
            later_ms = self.clock.wall_ms() + 1
            for other in ("i-1", "i-2"):
                self.assertTrue(
                    self.registry.announce(
                        announcement(other, born_ms=later_ms)
                    )
                )

    def test_a_start_time_from_a_clock_that_was_ahead_hides_no_restart(self):
        """All that the target said later was acknowledged and ignored."""
        self.clock.ahead_ms = 2000
        first_ms = self.clock.wall_ms()
        self.registry.announce(announcement(born_ms=first_ms, sequence=9))
        self.clock.advance(1.0)
        self.clock.ahead_ms = 0
        second_ms = self.clock.wall_ms()
        self.assertLess(second_ms, first_ms)
        self.assertTrue(self.registry.announce(announcement(born_ms=second_ms)))
        # What earlier incarnations have sent may still arrive.
        for late_ms in (first_ms, first_ms - 3000):
            self.registry.announce(announcement(born_ms=late_ms, sequence=10))
        self.assertEqual(self.registry.current.born_ms, second_ms)
        self.registry.leave("i-1", second_ms)
        self.assertFalse(
            self.registry.announce(announcement(born_ms=second_ms, sequence=2))
        )
        self.assertEqual(self.registry.state, target_state.TargetState.GONE)

    def test_a_target_that_left_with_a_clock_ahead_may_start_again(self):
        """Its late announcements are still ignored."""
        self.clock.ahead_ms = 2000
        first_ms = self.clock.wall_ms()
        self.registry.announce(announcement(born_ms=first_ms))
        self.registry.leave("i-1", 0)
        self.clock.advance(1.0)
        self.clock.ahead_ms = 0
        late = announcement(born_ms=first_ms, sequence=5)
        self.assertFalse(self.registry.announce(late))
        again = announcement(born_ms=self.clock.wall_ms())
        self.assertTrue(self.registry.announce(again))

    def test_a_target_that_left_does_not_hide_one_that_had_started(self):
        """The leave of the target before it names no start time."""
        self.clock.advance(10.0)
        self.registry.leave("i-1", 0)
        self.assertTrue(self.registry.announce(announcement("i-2")))
        self.assertTrue(self.registry.is_accepting())

    def test_a_leave_of_an_older_incarnation_does_not_end_the_new_one(self):
        """A delayed leave message names the incarnation that it ends."""
        self.registry.announce(announcement(born_ms=300))
        self.registry.leave("i-1", 100)
        self.assertEqual(self.registry.state, READY)

    def test_a_draining_target_accepts_calls_for_the_notice_time(self):
        """Calls are accepted for the notice time, then refused."""
        self.registry.announce(announcement(sequence=1))
        self.registry.announce(announcement(sequence=2, state=DRAINING))
        self.assertTrue(self.registry.is_accepting())
        self.clock.advance(1.0)
        self.assertFalse(self.registry.is_accepting())

    def test_repeating_the_state_reports_nothing(self):
        """Only changes are reported."""
        for sequence in range(1, 6):
            self.registry.announce(announcement(sequence=sequence))
        self.assertEqual(self.changes, 1)

    def test_an_announcement_of_another_service_is_ignored(self):
        """A target of another service cannot be the one beside this node."""
        self.assertFalse(self.registry.announce(announcement(service="other")))
        self.assertFalse(self.registry.is_accepting())
