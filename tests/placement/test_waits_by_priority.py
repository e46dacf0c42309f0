"""Tests of the choice of gates by the waits that they report by priority."""

import unittest

from galenatack.model import gate_report
from galenatack.placement import gate_view

SLOTS = 2


def report(*, waits_ms=(0, 400), wait_ms=400):
    """Returns the report of a gate with a long queue of bulk calls."""
    return gate_report.GateReport(SLOTS, 8, 90, 0, wait_ms, waits_ms=waits_ms)


class TestWaitsByPriority(unittest.TestCase):
    def setUp(self):
        self.view = gate_view.GateView(boot_ms=1)

    def test_an_urgent_call_is_sent_to_a_gate_that_others_have_filled(self):
        """Urgent calls would stay on the few gates that answered one."""
        self.view.apply_report(report(), "bulk", 1.0, priority=1)
        self.assertLess(self.view.wait_ms("urgent", SLOTS, 1.0, priority=0), 1)
        self.assertGreater(
            self.view.wait_ms("bulk", SLOTS, 1.0, priority=1), 390
        )

    def test_a_gate_of_an_earlier_release_reports_one_wait(self):
        self.view.apply_report(report(waits_ms=()), "bulk", 1.0, priority=1)
        self.assertEqual(self.view.wait_ms("bulk", SLOTS, 1.0, priority=1), 400)

    def test_the_refusal_of_one_tenant_is_not_that_of_another(self):
        """Its crowd would shut the gate to all others."""
        self.view.record_refusal("r", 1.0, tenant="hot")
        self.assertTrue(self.view.is_refusing("r", 1.0, tenant="hot"))
        self.assertFalse(self.view.is_refusing("r", 1.0, tenant="cool"))

    def test_the_wait_of_a_hot_tenant_is_its_own(self):
        self.view.apply_report(
            report(waits_ms=(50,)), "r", 1.0, priority=0, tenant="hot"
        )
        waits = [
            self.view.wait_ms("r", SLOTS, 1.0, priority=0, tenant=tenant)
            for tenant in ("hot", "cool")
        ]
        self.assertEqual(waits[0], 400)
        self.assertLess(waits[1], 60)
