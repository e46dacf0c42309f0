"""Tests of the order in which waiting calls are started."""

import unittest

from galenatack.admission import turn_order
from galenatack.admission import waiting_call
from galenatack.model import admission_terms
from tests.fakes import manual_clock

WORK_MS = 100.0


class FakeFuture:
    """A future of which nobody takes the result."""

    def done(self):
        """Returns whether it has a result."""
        return True


class TestTurnOrder(unittest.TestCase):
    def setUp(self):
        self.clock = manual_clock.ManualClock()
        # Turns of single calls, without a lead.
        self.order = turn_order.TurnOrder(clock=self.clock, tolerance_ms=0.0)
        self.pushed = 0

    def push(self, name, *, objective_ms=1000, waited_ms=0.0, **terms):
        self.pushed += 1
        self.order.push(
            waiting_call.WaitingCall(
                self.terms(name, objective_ms, waited_ms, **terms),
                self.pushed,
                now_s=self.clock.monotonic_s(),
                expected_ms=WORK_MS,
                allowed_ms=1000.0,
                future=FakeFuture(),
            )
        )

    def terms(
        self,
        name,
        objective_ms=1000,
        waited_ms=0.0,
        *,
        priority=1,
        deadline_s=2.0,
        tenant="",
        route="r",
        cost_ms=0.0,
    ):
        return admission_terms.AdmissionTerms(
            name,
            route,
            priority,
            deadline_s,
            objective_ms,
            waited_ms,
            tenant,
            cost_ms,
        )

    def drain(self):
        names = []
        while call := self.order.pop():
            names.append(call.call_id)
        return names

    def test_a_lead_of_a_few_calls_is_no_crowd(self):
        """By turns of single calls, some of many tenants wait by chance."""
        self.order = turn_order.TurnOrder(
            clock=self.clock, tolerance_ms=3 * WORK_MS
        )
        for number in range(6):
            self.push(f"hot{number}", tenant="hot", deadline_s=1.0)
        self.push("cool", tenant="cool", deadline_s=1.5)
        names = self.drain()
        self.assertEqual(names.index("cool"), 4)

    def test_calls_of_runs_go_before_those_of_tenants(self):
        """A flow of their own beside 83 tenants' would wait for all of them.

        The runs that made them hold slots meanwhile, and fail.
        """
        for number in range(9):
            self.push(f"t{number}", tenant=f"t{number}", deadline_s=1.0)
        for number in range(3):
            self.push(f"nested{number}", deadline_s=1.5)
        self.assertEqual(self.drain()[:3], ["nested0", "nested1", "nested2"])

    def test_a_call_that_is_late_goes_behind_one_in_time(self):
        """A returning caller has the nearest deadline and is late anyway."""
        self.push("returned", waited_ms=950.0, deadline_s=0.5)
        self.push("first")
        self.push("less-urgent", priority=2)
        self.assertEqual(self.drain(), ["first", "returned", "less-urgent"])

    def test_a_call_becomes_late_while_it_waits(self):
        """It would take the slot of one that can still be in time."""
        self.push("waits", objective_ms=300, deadline_s=0.5)
        self.clock.advance(0.25)
        self.push("fresh", objective_ms=300)
        self.assertEqual(self.drain(), ["fresh", "waits"])

    def test_calls_without_tenants_go_by_deadline(self):
        """A nested call has a near deadline and holds a slot of its parent."""
        self.push("new", route="a")
        self.push("nested", route="b", deadline_s=1.0)
        self.push("next", route="a")
        self.assertEqual(self.drain(), ["nested", "new", "next"])

    def test_the_crowd_of_a_tenant_waits_for_its_turn(self):
        for number in range(4):
            self.push(f"hot{number}", tenant="hot", deadline_s=1.0)
        self.push("cool0", tenant="cool")
        self.push("cool1", tenant="cool")
        self.assertEqual(
            self.drain(), ["hot0", "cool0", "hot1", "cool1", "hot2", "hot3"]
        )

    def test_turns_are_by_work(self):
        """A tenant of few dear calls would take the room of one of many."""
        for number in range(3):
            self.push(f"dear{number}", tenant="dear", cost_ms=300.0)
        for number in range(6):
            self.push(f"cheap{number}", tenant="cheap")
        names = self.drain()
        self.assertEqual(names.index("dear1") - names.index("dear0"), 4)

    def test_the_order_that_is_told_is_the_one_that_is_kept(self):
        for number in range(4):
            self.push(f"hot{number}", tenant="hot", priority=number % 2)
            self.push(f"cool{number}", tenant="cool", waited_ms=950 * number)
        told = [call.call_id for call in self.order.in_order()]
        self.assertEqual(told, self.drain())

    def test_a_tenant_that_is_idle_gains_no_credit(self):
        """It would shut out the others when it comes back."""
        self.push("idle", tenant="idle")
        for number in range(6):
            self.push(f"busy{number}", tenant="busy")
        for _ in range(5):
            self.order.pop()
        for number in range(3):
            self.push(f"back{number}", tenant="idle")
        self.assertEqual(self.drain()[:3], ["back0", "busy4", "back1"])

    def test_a_crowd_does_not_lengthen_the_wait_of_another_tenant(self):
        """It would be refused for a queue that it goes before."""
        for number in range(10):
            self.push(f"hot{number}", tenant="hot")
        ahead = {
            tenant: self.order.ahead(
                self.terms("next", tenant=tenant, deadline_s=3.0),
                is_late=False,
                cost_ms=WORK_MS,
            )
            for tenant in ("hot", "cool")
        }
        self.assertEqual(ahead["hot"], (10, 1000.0))
        self.assertEqual(ahead["cool"], (1.0, 100.0))

    def test_waits_are_told_by_priority(self):
        """An urgent call would not be sent for a queue that it passes."""
        self.push("urgent", priority=0)
        self.push("late", priority=0, waited_ms=950.0)
        self.push("bulk", priority=2)
        sums = self.order.by_priority()
        self.assertEqual([calls for calls, _ in sums], [1, 2, 3])

    def test_the_waits_in_an_answer_are_few(self):
        """A priority is any number; answers would grow with it."""
        self.push("first", priority=10_000)
        sums = self.order.by_priority()
        self.assertEqual(len(sums), turn_order.MAX_PRIORITIES)
        self.assertEqual(sums[-1][0], 1)

    def test_removed_calls_do_not_pile_up(self):
        """Those behind a call that always goes first would stay for good."""
        self.push("first", priority=0)
        for number in range(1000):
            self.push(f"c{number}")
            self.order.remove(f"c{number}")
        self.assertLess(len(self.order._heaps["route/r"]), 50)

    def test_idle_tenants_are_forgotten(self):
        """Their state would grow with every tenant that was ever seen."""
        self.push("stays", priority=2, tenant="stays")
        for number in range(2000):
            self.push(f"c{number}", tenant=f"t{number}")
            self.order.pop()
        self.assertLess(len(self.order._shares[1]), 600)
