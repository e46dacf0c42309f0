"""Tests of what the calls at a gate still need."""

import random
import types
import unittest

from galenatack.estimates import gate_work
from galenatack.estimates import residual_life
from galenatack.model import call_request
from galenatack.model import target_condition
from galenatack.model import target_load

MEAN_MS = 70.0


def call(call_id, cost_ms):
    """Returns a call with the estimate of its caller."""
    return call_request.CallRequest(
        call_id, "s", "r", "GET", "/", (), b"", 900, False, cost_ms=cost_ms
    )


class TestGateWork(unittest.TestCase):
    def setUp(self):
        self.now_s = 0.0
        clock = types.SimpleNamespace(monotonic_s=lambda: self.now_s)
        self.work = gate_work.GateWork(clock=clock)
        self.rng = random.Random(1)

    def learn(self, *, factor=1.0, is_random=False):
        """Runs calls that are estimated well, or not at all."""
        for _ in range(500):
            cost_ms = self.rng.choice((25.0, 250.0))
            told_ms = self.rng.choice((25.0, 250.0)) if is_random else cost_ms
            ran_ms = factor * cost_ms * self.rng.lognormvariate(-0.1, 0.45)
            self.work.record(call("x", told_ms), ran_ms=ran_ms, mean_ms=137.0)

    def test_good_estimates_replace_the_mean(self):
        """They are scaled by the speed of the own target."""
        self.learn(factor=1.5)
        expected_ms = self.work.add(call("a", 100.0), MEAN_MS)
        self.assertAlmostEqual(expected_ms, 150.0, delta=25.0)

    def test_bad_estimates_leave_the_mean(self):
        """The queue must not refuse calls by figures that tell nothing."""
        self.learn(is_random=True)
        self.assertEqual(self.work.add(call("a", 100.0), MEAN_MS), MEAN_MS)

    def test_calls_without_an_estimate_have_the_mean(self):
        """Nodes of the release before send none."""
        self.learn()
        self.assertEqual(self.work.add(call("a", 0.0), MEAN_MS), MEAN_MS)

    def test_no_backlog_is_told_where_no_caller_estimates(self):
        """Its callers count calls as before."""
        self.work.add(call("a", 0.0), MEAN_MS)
        self.assertEqual(self.work.backlog_ms(), 0)

    def test_the_backlog_is_the_work_that_is_left(self):
        """Running calls count with their rest, waiting ones as a whole."""
        self.learn()
        for name in ("runs", "waits"):
            self.work.add(call(name, 200.0), MEAN_MS)
        self.work.start("runs")
        begun_ms = self.work.backlog_ms()
        self.now_s += 0.15
        rest_ms = self.work.backlog_ms()
        self.work.end("runs")
        self.assertAlmostEqual(begun_ms, 400.0, delta=60.0)
        self.assertLess(rest_ms, begun_ms - 80.0)
        self.assertEqual(self.work.backlog_ms(), 200)

    def test_ended_calls_leave_nothing(self):
        """A lost call would be in all reports for ever."""
        self.learn()
        for number in range(100):
            self.work.add(call(str(number), 200.0), MEAN_MS)
            self.work.end(str(number))
        self.assertEqual(self.work.backlog_ms(), 0)

    def test_a_call_id_that_came_twice_is_no_failure(self):
        """It comes from another node; the second call must still run."""
        for _ in range(2):
            self.work.add(call("same", 50.0), MEAN_MS)
        for _ in range(2):
            self.work.start("same")
            self.work.end("same")
        self.assertEqual(self.work.backlog_ms(), 0)

    def test_a_stale_slowdown_fades_in_reports(self):
        """A gate that only refuses would pass on an old figure as new."""
        load = target_load.TargetLoad(1, 0, 4, 2.5)
        condition = target_condition.TargetCondition(load=load)
        for _ in range(10):
            self.work.apply_load(load)
        self.now_s += 2.0
        self.assertLess(self.work.faded(condition).load.slowdown, 1.01)


class TestResidualLife(unittest.TestCase):
    def test_a_call_beyond_its_estimate_is_in_the_tail(self):
        """It needs more time, not none."""
        rng = random.Random(1)
        residual = residual_life.ResidualLife()
        for _ in range(2000):
            is_long = rng.random() < 0.05
            residual.record(rng.uniform(6, 10) if is_long else 0.8)
        self.assertAlmostEqual(residual.remaining(0.0), 1.2, delta=0.3)
        self.assertGreater(residual.remaining(2.0), 4.0)
        self.assertGreater(residual.remaining(500.0), 10.0)
