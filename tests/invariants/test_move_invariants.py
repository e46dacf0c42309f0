"""Tests of the invariants of moves."""

import unittest

from galenatack.invariants import bad_version
from galenatack.invariants import verdict_once
from galenatack.invariants import violations
from galenatack.model import move_state

MOVE = move_state.MoveState(
    "m", "prices", "v1", "v2", 0, 600_000, "running", 50, 1, 0
)


class TestBadVersion(unittest.TestCase):
    def test_share_above_the_cap(self):
        """6 of 100 calls exceed the cap of 5% in the first step only."""
        bad_version.check_share(MOVE, calls=100, new_calls=5, cap_permille=50)
        with self.assertRaises(bad_version.BadVersionViolationError):
            bad_version.check_share(
                MOVE, calls=100, new_calls=6, cap_permille=50
            )
        bad_version.check_share(
            MOVE._replace(step=1), calls=100, new_calls=6, cap_permille=50
        )

    def test_call_after_a_fault(self):
        """A new call more than 3 s after the fault is a violation."""
        facts = {"service": "s", "version": "v2", "move_id": "m"}
        bad_version.check_new_call(fault_known_s=None, now_s=9.0, **facts)
        bad_version.check_new_call(fault_known_s=1.0, now_s=4.0, **facts)
        with self.assertRaises(bad_version.BadVersionViolationError):
            bad_version.check_new_call(fault_known_s=1.0, now_s=4.1, **facts)

    def test_call_after_the_promise(self):
        """A call at the promised time is a violation unless `done`."""
        facts = {"version": "v2", "now_ms": MOVE.by_ms}
        bad_version.check_promise(MOVE, version="v2", now_ms=MOVE.by_ms - 1)
        bad_version.check_promise(MOVE, version="v1", now_ms=MOVE.by_ms)
        bad_version.check_promise(MOVE._replace(phase="done"), **facts)
        with self.assertRaises(bad_version.BadVersionViolationError):
            bad_version.check_promise(MOVE, **facts)

    def test_count_mode(self):
        """In mode `count` a violation is counted and not raised."""
        before = violations.counts().get("invariant-bad-version", 0)
        violations.set_mode(violations.COUNT)
        self.addCleanup(violations.set_mode, violations.RAISE)
        with self.assertLogs("galenatack.invariants.violations", "ERROR"):
            bad_version.check_share(MOVE, calls=1, new_calls=1, cap_permille=50)
        after = violations.counts()["invariant-bad-version"]
        self.assertEqual(after, before + 1)


class TestVerdictOnce(unittest.TestCase):
    def test_verdict_does_not_change(self):
        """A verdict may be followed only by itself and by another move."""
        done = MOVE._replace(phase="done")
        verdict_once.check(None, MOVE)
        verdict_once.check(MOVE, done)
        verdict_once.check(done, done)
        verdict_once.check(done, MOVE._replace(move_id="m2"))
        with self.assertRaises(verdict_once.VerdictOnceViolationError):
            verdict_once.check(done, done._replace(phase="taken_back"))
