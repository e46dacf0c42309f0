"""Tests of the judgement of routes."""

import random
import unittest

from galenatack.model import move_policy
from galenatack.moves import comparison
from galenatack.moves import evaluator
from galenatack.moves import latency_buckets
from galenatack.moves import route_window
from galenatack.moves import sequential_test


def window(rng, route, version, calls, *, error, factor, data_centre="a"):
    """Returns a window of random outcomes."""
    buckets = {}
    for _ in range(calls):
        latency_ms = 20.0 * factor * rng.lognormvariate(0.0, 0.4)
        index = latency_buckets.index_of(latency_ms)
        buckets[index] = buckets.get(index, 0) + 1
    errors = sum(rng.random() < error for _ in range(calls))
    return route_window.RouteWindow(
        route, version, data_centre, calls, errors, calls, buckets
    )


def judge(seed, *, windows, bad=None, incident=None, calls=(5, 60)):
    """Observes random windows until a fault or the end of the move.

    Args:
        seed: Seed.
        windows: Number of windows of half a second.
        bad: Fault of the new version: (first window, route, error rate, latency
            factor).
        incident: Incident of both versions: (first window, end, error rate,
            latency factor).
        calls: Calls of the new and the old version in each window and route.

    Returns:
        The evaluator and the number of the last window.
    """
    rng = random.Random(seed)
    tested = evaluator.Evaluator(
        policy=move_policy.MovePolicy(),
        from_version="v1",
        to_version="v2",
        duration_ms=windows * 500,
    )
    for number in range(windows):
        base = (0.005, 1.0)
        if incident and incident[0] <= number < incident[1]:
            base = incident[2:]
        batch = []
        for route in ("big", "small"):
            share = 1 if route == "big" else 4
            new = base
            if bad and number >= bad[0] and route == bad[1]:
                new = (base[0] + bad[2], base[1] * bad[3])
            for version, (error, factor), count in (
                ("v1", base, calls[1] // share),
                ("v2", new, max(1, calls[0] // share)),
            ):
                batch.append(
                    window(
                        rng, route, version, count, error=error, factor=factor
                    )
                )
        tested.observe(batch)
        if tested.faulty() is not None:
            return tested, number
    return tested, windows


class TestSequentialTest(unittest.TestCase):
    def test_repeated_looking_keeps_the_error_rate(self):
        """Evaluating after each of 600 windows does not raise the error rate.

        With equal versions, at most 3 of 60 runs reach the level 1/20 and
        none 1e-4. A fixed-level test fails this in most runs.
        """
        passed = 0
        for seed in range(60):
            rng = random.Random(seed)
            test = sequential_test.SequentialTest(horizon_windows=600)
            highest = -100.0
            for _ in range(600):
                new = sum(rng.random() < 0.02 for _ in range(10))
                old = sum(rng.random() < 0.02 for _ in range(40))
                test.update((comparison.Comparison(10, new, 40, old, 1.0),))
                highest = max(highest, test.log_value())
            passed += highest >= 3.0
            self.assertLess(highest, 9.2)
        self.assertLessEqual(passed, 3)

    def test_common_incident_cancels(self):
        """Equal event rates of both versions are not evidence of a fault."""
        part = comparison.Comparison(50, 25, 50, 25, 1.0)
        for odds in sequential_test.ODDS_RATIOS:
            self.assertLess(
                sequential_test.same_period_log_ratio(part, odds), 0.0
            )


class TestEvaluator(unittest.TestCase):
    def test_good_versions_are_never_faulty(self):
        """An incident during a move does not make equal versions faulty.

        A route with 2 calls/s may lack evidence by chance, so one of the four
        moves may stay unclear.
        """
        clear = 0
        for seed in range(4):
            tested, _ = judge(seed, windows=300, incident=(100, 130, 0.2, 1.8))
            self.assertIsNone(tested.faulty())
            clear += tested.is_clear()
        self.assertGreaterEqual(clear, 3)

    def test_fault_on_a_small_route_is_found(self):
        """A fault on a route with few calls is found and attributed to it."""
        tested, _ = judge(1, windows=300, bad=(0, "small", 0.3, 1.0))
        self.assertEqual(tested.faulty().route, "small")

    def test_slow_version_without_errors(self):
        """A version that is only slower is faulty."""
        tested, at = judge(2, windows=300, bad=(0, "big", 0.0, 2.5))
        self.assertIn("slower", tested.faulty().reason)
        self.assertLess(at, 100)

    def test_late_fault_is_not_outweighed(self):
        """Good calls before a fault do not delay its detection."""
        _, early = judge(3, windows=400, bad=(60, "big", 0.3, 1.0))
        _, late = judge(3, windows=400, bad=(300, "big", 0.3, 1.0))
        self.assertLessEqual(early, 80)
        self.assertLessEqual(late, 320)

    def test_fault_at_high_share(self):
        """With 10 control calls/s, a fault at 95% share is found within 6 s.

        A much faster rule would have to assume that incidents are rare: a
        window has 5 control calls, which all succeed with a probability of
        0.17 in an incident with 30% errors.
        """
        _, at = judge(4, windows=200, bad=(150, "big", 0.3, 1.0), calls=(95, 5))
        self.assertLessEqual(at, 162)

    def test_few_calls_are_insufficient(self):
        """Without enough calls a route is neither clear nor faulty."""
        tested, _ = judge(5, windows=10, calls=(1, 20))
        self.assertFalse(tested.is_clear())
        self.assertIsNone(tested.faulty())

    def test_verdict_does_not_change_the_evidence(self):
        """Reading verdicts early does not fix the latency thresholds.

        Guards against thresholds that are set by the first read, before any
        latencies are known.
        """
        tested = evaluator.Evaluator(
            policy=move_policy.MovePolicy(),
            from_version="v1",
            to_version="v2",
            duration_ms=100_000,
        )
        rng = random.Random(6)
        for _ in range(60):
            tested.verdicts()
            tested.observe(
                [
                    window(rng, "r", "v1", 30, error=0.0, factor=1.0),
                    window(rng, "r", "v2", 10, error=0.0, factor=0.8),
                ]
            )
        self.assertTrue(tested.is_clear(step=3))

    def test_latency_is_compared_by_data_centre(self):
        """A new target in a slow data centre is compared only within it."""
        rng = random.Random(7)
        tested = evaluator.Evaluator(
            policy=move_policy.MovePolicy(),
            from_version="v1",
            to_version="v2",
            duration_ms=100_000,
        )
        for _ in range(200):
            batch = [
                window(
                    rng, "r", "v1", 20, error=0.0, factor=f, data_centre=name
                )
                for name, f in (("a", 1.0), ("slow", 2.0))
            ]
            batch.append(
                window(
                    rng, "r", "v2", 5, error=0.0, factor=2.0, data_centre="slow"
                )
            )
            tested.observe(batch)
        self.assertIsNone(tested.faulty())
