"""Tests of the fault detection for a version on trial."""

import random
import unittest

from galenatack.model import route_evidence
from galenatack.moves import latency_buckets
from galenatack.rollouts import trial_judge


def evidence(route, version, *, calls, errors=0, times_ms=None):
    """Returns the outcomes of one route at one gate."""
    buckets = {}
    for time_ms in times_ms or [90.0] * calls:
        index = latency_buckets.index_of(time_ms)
        buckets[index] = buckets.get(index, 0) + 1
    return route_evidence.RouteEvidence(
        route, version, calls, errors, calls, tuple(sorted(buckets.items()))
    )


class TestTrialJudge(unittest.TestCase):
    def test_a_version_that_fails_half_of_its_calls_is_found_after_ten(self):
        """Five failures in ten calls are enough for a fault."""
        reason = trial_judge.fault(
            [
                evidence("r", "v1", calls=500, errors=3),
                evidence("r", "v2", calls=10, errors=5),
            ],
            "v2",
        )
        self.assertIn("5 of 10", reason)

    def test_trouble_while_only_the_new_version_has_calls_is_no_fault(self):
        """Uses the figures of a healthy version that was taken back."""
        reason = trial_judge.fault(
            [
                evidence("r", "v1", calls=3289, errors=59),
                evidence("r", "v2", calls=331, errors=45),
            ],
            "v2",
            is_alone=True,
        )
        self.assertIsNone(reason)

    def test_a_version_that_fails_a_third_of_its_calls_is_found(self):
        """A third needs more calls, but far fewer than the exposure bound."""
        reason = trial_judge.fault(
            [
                evidence("r", "v1", calls=500, errors=3),
                evidence("r", "v2", calls=90, errors=30),
            ],
            "v2",
            is_alone=True,
        )
        self.assertIn("30 of 90", reason)

    def test_a_fault_on_one_of_two_routes_is_found(self):
        """Each route is evaluated separately."""
        reason = trial_judge.fault(
            [
                evidence("a", "v1", calls=500, errors=3),
                evidence("b", "v1", calls=500, errors=3),
                evidence("a", "v2", calls=200),
                evidence("b", "v2", calls=14, errors=6),
            ],
            "v2",
        )
        self.assertIn("route b", reason)

    def test_slow_answers_are_a_fault(self):
        """A version with half of its answers eight times slower is faulty."""
        slow = [90.0, 720.0] * 8
        reason = trial_judge.fault(
            [
                evidence("r", "v1", calls=200),
                evidence("r", "v2", calls=16, times_ms=slow),
            ],
            "v2",
        )
        self.assertIn("took over", reason)

    def test_trouble_of_both_versions_is_no_fault(self):
        """A disturbance that fails calls of both versions is no fault."""
        reason = trial_judge.fault(
            [
                evidence("r", "v1", calls=400, errors=160),
                evidence("r", "v2", calls=40, errors=18),
            ],
            "v2",
        )
        self.assertIsNone(reason)

    def test_a_healthy_version_on_slower_machines_is_no_fault(self):
        """Targets of one service differ in speed by up to three."""
        reason = trial_judge.fault(
            [
                evidence("r", "v1", calls=200),
                evidence("r", "v2", calls=100, times_ms=[260.0] * 100),
            ],
            "v2",
        )
        self.assertIsNone(reason)

    def test_healthy_versions_pass_repeated_evaluations(self):
        """A healthy version with 1% of failures passes every evaluation."""
        rng = random.Random(7)
        faults = 0
        for _ in range(200):
            errors = 0
            for evaluation in range(1, 60):
                errors += sum(rng.random() < 0.01 for _ in range(5))
                faults += bool(
                    trial_judge.fault(
                        [
                            evidence(
                                "r",
                                "v1",
                                calls=100 * evaluation,
                                errors=evaluation,
                            ),
                            evidence(
                                "r", "v2", calls=5 * evaluation, errors=errors
                            ),
                        ],
                        "v2",
                    )
                )
        self.assertEqual(faults, 0)
