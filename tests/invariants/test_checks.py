"""Tests of the invariants of the log and of reported violations."""

import unittest

from galenatack import exceptions
from galenatack.invariants import atomic_apply
from galenatack.invariants import convergence
from galenatack.invariants import version_order
from galenatack.invariants import violations
from galenatack.model import entry

OLD = {"a": entry.Entry("a", 1, 1, "d", b"")}
NEW = {"a": entry.Entry("a", 2, 2, "e", b"")}


class TestChecks(unittest.TestCase):
    def setUp(self):
        """Resets the counts; restores the mode `raise` afterwards."""
        violations.reset()
        self.addCleanup(violations.set_mode, violations.RAISE)

    def test_version_order(self):
        """A decreasing seq or entry version is a violation."""
        check = version_order.check
        check(node_id="n", old_seq=1, new_seq=2, old=OLD, new=NEW)
        with self.assertRaises(version_order.VersionOrderError):
            check(node_id="n", old_seq=2, new_seq=1, old=OLD, new=NEW)
        with self.assertRaises(version_order.VersionOrderError) as caught:
            check(node_id="n", old_seq=1, new_seq=2, old=NEW, new=OLD)
        self.assertEqual(caught.exception.facts["old_version"], 2)
        with self.assertRaises(version_order.VersionOrderError):
            check(node_id="n", old_seq=1, new_seq=2, old=OLD, new={})

    def test_atomic_apply(self):
        """A missing or additional entry is a violation."""
        step = NEW.values()
        options = {"node_id": "n", "step": step, "old": OLD}
        atomic_apply.check(**options, rejected=(), new=NEW)
        atomic_apply.check(**options, rejected=("a",), new=OLD)
        for rejected, new in (((), OLD), (("a",), NEW), ((), {**NEW, "b": 1})):
            with self.assertRaises(atomic_apply.AtomicApplyError):
                atomic_apply.check(**options, rejected=rejected, new=new)

    def test_convergence(self):
        """A held change that is not in force within 5 s is a violation."""
        options = {"node_id": "n", "seq": 2, "held_since_s": 1.0}
        convergence.check(**options, running_seq=2, now_s=99.0)
        convergence.check(**options, running_seq=1, now_s=6.0)
        with self.assertRaises(convergence.ConvergenceError):
            convergence.check(**options, running_seq=1, now_s=6.1)

    def test_count_mode_does_not_raise(self):
        """In mode `count` a violation is counted and logged."""
        violations.set_mode(violations.COUNT)
        violation = version_order.VersionOrderError("test", node_id="n")
        with self.assertLogs(violations.__name__, "ERROR"):
            violations.report(violation)
        self.assertEqual(violations.counts()["invariant-version-order"], 1)

    def test_unknown_mode(self):
        """An unknown mode is a settings error."""
        with self.assertRaises(exceptions.SettingsError):
            violations.set_mode("ignore")
