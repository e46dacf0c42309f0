"""Tests of when a node estimates, and of where its calls then go."""

import random
import types
import unittest

from galenatack import exceptions
from galenatack.estimates import call_estimates
from galenatack.model import caller_request
from galenatack.model import gate_report
from galenatack.model import target_condition
from galenatack.model import target_load
from galenatack.placement import known_conditions
from galenatack.placement import target_placement
from tests.placement import fleet_load

ROUTE = fleet_load.route()
MEMBERS = [fleet_load.member(name, slots=4) for name in ("t-1", "t-2", "t-3")]
GAP_S = 0.01
WORK_MS = {"light": 20, "heavy": 200}


def request(kind="light"):
    """Returns a request of a kind."""
    return caller_request.CallerRequest(
        "", "GET", "h", f"/{kind}", (), b"", 900
    )


class TestCallEstimates(unittest.TestCase):
    def setUp(self):
        self.now_s = 0.0
        self.rng = random.Random(1)
        self.slowdowns = {}
        self.make(is_enabled=True)

    def make(self, *, is_enabled):
        """Makes the estimates and a placement that uses them."""
        self.estimates = call_estimates.CallEstimates(is_enabled=is_enabled)
        self.placement = target_placement.TargetPlacement(
            own=fleet_load.member("caller"),
            clock=types.SimpleNamespace(monotonic_s=lambda: self.now_s),
            rng=self.rng,
            is_connected=lambda _: True,
            conditions=known_conditions.KnownConditions(),
            predictor=self.estimates,
        )

    def call(self, kind="light", work_ms=None, backlog_ms=0):
        """Sends a call that is answered at once; returns its target."""
        self.now_s += GAP_S
        cost = self.estimates.cost(request(kind), ROUTE, "s")
        chosen = self.placement.choose(
            MEMBERS, route=ROUTE, left_ms=900.0, tried=set(), cost=cost
        )
        view = self.placement.view(chosen)
        slowdown = self.slowdowns.get(chosen.node_id, 1.0)
        ran_ms = (work_ms or WORK_MS[kind]) * slowdown
        load = target_load.TargetLoad(0, 0, 4, slowdown)
        self.estimates.record_sent(cost, view, self.now_s)
        self.estimates.record_ended(cost, view)
        report = gate_report.GateReport(
            0,
            0,
            int(ran_ms * self.rng.uniform(0.8, 1.2)),
            0,
            0,
            condition=target_condition.TargetCondition(load=load),
            backlog_ms=backlog_ms,
        )
        view.apply_report(report, ROUTE.name, self.now_s)
        self.estimates.record_report(
            cost, view, report, took_ms=report.ran_ms, now_s=self.now_s
        )
        return chosen.node_id

    def learn(self):
        """Lets the kinds be learned."""
        for _ in range(400):
            self.call(self.rng.choice(("light", "heavy")))

    def cost(self, kind):
        """Returns the expected cost of a request."""
        return self.estimates.cost(request(kind), ROUTE, "s")

    def test_estimates_are_used_once_kinds_are_told_apart(self):
        """The cost goes to the gate with the call."""
        self.assertFalse(self.cost("heavy").is_used)
        self.learn()
        cost = self.cost("heavy")
        self.assertTrue(cost.is_used)
        self.assertAlmostEqual(cost.work_ms, 200.0, delta=30.0)

    def test_counting_stays_where_there_is_nothing_to_tell(self):
        """All calls look alike, and no target says that it is slow."""
        for _ in range(400):
            self.call(work_ms=50)
        self.assertFalse(self.cost("light").is_used)
        self.assertEqual(self.cost("light").work_ms, 0.0)

    def test_counting_returns_when_estimates_predict_worse(self):
        """A release swaps what the kinds cost."""
        self.learn()
        used = []
        for _ in range(40):
            self.call("heavy", work_ms=20)
            self.call("light", work_ms=200)
            used.append(self.cost("light").is_used)
        self.assertIn(False, used)

    def test_a_setting_turns_estimates_off(self):
        """Neither targets nor gates see anything of them."""
        self.make(is_enabled=False)
        self.learn()
        self.assertIsNone(self.cost("heavy"))

    def test_turned_off_while_calls_run_it_leaves_no_work(self):
        """The settings file may change between a call and its answer."""
        self.learn()
        cost = self.cost("heavy")
        view = self.placement.view(MEMBERS[0])
        self.estimates.record_sent(cost, view, self.now_s)
        self.estimates.is_enabled = False
        self.estimates.record_ended(cost, view)
        self.assertEqual(view.work.backlog_ms(self.now_s), 0.0)

    def test_a_slow_target_is_avoided_and_used_again(self):
        """It is slow for 0.6 s, and is seen within a few answers."""
        self.slowdowns["t-2"] = 1.2
        for _ in range(100):
            self.call("heavy", work_ms=100)
        self.slowdowns["t-1"] = 2.5
        chosen = [self.call("heavy", work_ms=100) for _ in range(60)]
        self.assertLessEqual(chosen.count("t-1"), 5)
        self.slowdowns.clear()
        self.now_s += 1.0
        chosen = [self.call("heavy", work_ms=100) for _ in range(100)]
        self.assertGreater(chosen.count("t-1"), 20)

    def test_work_that_is_left_decides_at_equal_counts(self):
        """Two targets run five calls each, of one the long ones."""
        self.learn()
        now_s = self.now_s
        for member, backlog_ms in zip(MEMBERS, (900, 90, 900), strict=True):
            view = self.placement.view(member)
            report = gate_report.GateReport(
                4, 1, 0, 0, 0, backlog_ms=backlog_ms
            )
            view.apply_report(report, "other", now_s)
            view.work.apply_report(report, now_s)
        chosen = {self._choose("light") for _ in range(20)}
        self.assertEqual(chosen, {"t-2"})

    def test_own_calls_that_are_not_reported_yet_count(self):
        """Else all calls until the next report go to the same target."""
        self.learn()
        chosen = []
        for _ in range(15):
            cost = self.cost("heavy")
            member = self.placement.choose(
                MEMBERS, route=ROUTE, left_ms=900.0, tried=set(), cost=cost
            )
            view = self.placement.view(member)
            view.in_flight += 1
            self.estimates.record_sent(cost, view, self.now_s)
            chosen.append(member.node_id)
        for member in MEMBERS:
            self.assertGreaterEqual(chosen.count(member.node_id), 4)

    def test_reported_work_fades(self):
        """A gate that was full a second ago is tried again."""
        self.learn()
        view = self.placement.view(MEMBERS[0])
        report = gate_report.GateReport(4, 9, 0, 0, 900, backlog_ms=3000)
        view.work.apply_report(report, self.now_s)
        self.assertEqual(view.work.backlog_ms(self.now_s), 3000.0)
        self.assertLess(view.work.backlog_ms(self.now_s + 1.5), 30.0)

    def test_a_call_that_cannot_be_in_time_is_refused_by_its_own_cost(self):
        """A light one of the same route is still sent."""
        self.learn()
        for kind, is_refused in (("light", False), ("heavy", True)):
            try:
                self._choose(kind, left_ms=100.0)
            except exceptions.OverloadedError:
                self.assertTrue(is_refused, kind)
            else:
                self.assertFalse(is_refused, kind)

    def _choose(self, kind, left_ms=900.0):
        return self.placement.choose(
            MEMBERS,
            route=ROUTE,
            left_ms=left_ms,
            tried=set(),
            cost=self.cost(kind),
        ).node_id
