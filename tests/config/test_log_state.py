"""Tests of the held and running entries."""

import unittest

from galenatack.config import entry_check
from galenatack.config import entry_codec
from galenatack.config import log_state
from galenatack.messages import delta
from galenatack.model import entry
from galenatack.model import service_choice
from tests.fakes import sample_profile


def item(key: str, seq: int, version: int, body: bytes = b"") -> entry.Entry:
    """Returns an entry with a body derived from the seq."""
    return entry.Entry(key, seq, version, f"d{seq}", body or b"%d" % seq)


def step(from_seq: int, to_seq: int, *entries: entry.Entry) -> delta.Delta:
    """Returns a delta."""
    return delta.Delta(from_seq, to_seq, entries, None)


class TestLogState(unittest.TestCase):
    def setUp(self):
        """Starts with an empty state."""
        self.state = log_state.LogState(node_id="n")

    def test_gap_and_repeat_are_not_held(self):
        """A delta after a gap and a repeated delta change nothing."""
        self.assertFalse(self.state.hold(step(1, 2, item("a", 2, 2))))
        self.assertTrue(self.state.hold(step(0, 1, item("a", 1, 1))))
        self.assertFalse(self.state.hold(step(0, 1, item("a", 1, 1))))
        self.assertEqual((self.state.held_seq, self.state.running_seq), (1, 0))

    def test_runs_only_at_the_end_of_a_step(self):
        """A compacted delta is never run partially."""
        self.state.hold(step(0, 1, item("a", 1, 1)))
        self.state.hold(step(1, 4, item("b", 3, 1), item("a", 4, 2)))
        self.assertEqual(len(self.state.run_up_to(3)), 1)
        self.assertEqual(self.state.running_seq, 1)
        self.assertEqual(len(self.state.run_up_to(4)), 2)
        self.assertEqual(self.state.running()["a"].version, 2)

    def test_merged_steps_run_together(self):
        """After a rebuild no state older than the newest reply runs."""
        self.state.hold(step(0, 1, item("a", 1, 1)))
        self.state.hold(step(1, 2, item("a", 2, 2)))
        self.state.merge_steps()
        self.assertEqual(self.state.run_up_to(1), ())
        self.assertEqual(self.state.running_seq, 0)
        self.assertEqual(self.state.run_up_to(2)[0].version, 2)

    def test_running_mapping_is_a_snapshot(self):
        """A returned mapping does not change later."""
        self.state.hold(step(0, 1, item("a", 1, 1)))
        self.state.run_up_to(1)
        before = self.state.running()
        self.state.hold(step(1, 2, item("a", 2, 2)))
        self.state.run_up_to(2)
        self.assertEqual(before["a"].version, 1)

    def test_delta_since_covers_overlaps(self):
        """Overlapping deltas lead to the same state as single ones."""
        self.state.hold(step(0, 2, item("a", 1, 1), item("b", 2, 1)))
        self.state.hold(step(0, 3, item("b", 2, 1), item("a", 3, 2)))
        other = log_state.LogState(node_id="m")
        other.hold(self.state.delta_since(0))
        other.run_up_to(3)
        self.state.run_up_to(3)
        self.assertEqual(other.running(), self.state.running())
        self.assertEqual(self.state.delta_since(3).entries, ())

    def test_rejected_profile_keeps_its_old_version(self):
        """An invalid profile is rejected; the rest of the step runs."""
        state = log_state.LogState(
            node_id="n", rejection_reason=entry_check.rejection_reason
        )
        choice = service_choice.ServiceChoice("prices", "p", "v1")
        body = entry_codec.dump_choice(choice)
        state.hold(
            step(
                0,
                2,
                item("profile/p", 1, 1, sample_profile.body("p")),
                item("service/prices", 2, 1, body),
            )
        )
        state.run_up_to(2)
        state.hold(
            step(
                2,
                4,
                item("profile/p", 3, 2, b"{}"),
                item("service/prices", 4, 2, body),
            )
        )
        applied = state.run_up_to(4)
        self.assertEqual([found.key for found in applied], ["service/prices"])
        self.assertEqual(state.running()["profile/p"].version, 1)
        self.assertEqual(list(state.rejected), [("profile/p", 2)])
        self.assertEqual(state.running_seq, 4)


class TestParts(unittest.TestCase):
    def setUp(self):
        """Creates a sender whose state is sent in parts."""
        self.sender = log_state.LogState(node_id="s")
        for seq, key in enumerate("abcb", start=1):
            self.sender.hold(step(seq - 1, seq, item(key, seq, seq)))
        self.state = log_state.LogState(node_id="n")
        self.first = self.sender.delta_since(0, max_bytes=1)

    def test_parts_are_held_together(self):
        """Nothing is held before the last part arrives, then everything."""
        self.assertEqual((self.first.to_seq, self.first.parts_of_seq), (1, 4))
        self.assertFalse(self.state.hold(self.first))
        self.assertEqual((self.state.held_seq, self.state.pull_seq), (0, 1))
        rest = self.sender.delta_since(self.state.pull_seq)
        self.assertTrue(self.state.hold(rest))
        self.assertEqual(self.state.delta_since(0), self.sender.delta_since(0))

    def test_a_shorter_delta_does_not_complete_the_parts(self):
        """A peer that is behind the sender lacks entries missing in a part."""
        second = self.sender.delta_since(1, max_bytes=1)
        self.state.hold(self.first)
        self.state.hold(second)
        self.assertEqual(self.state.pull_seq, 3)
        behind = step(2, 3, item("c", 3, 3))
        self.assertFalse(self.state.hold(behind))
        self.assertEqual(self.state.held_seq, 0)
