"""Tests of the classes of requests by what they cost."""

import random
import unittest

from galenatack.estimates import cost_classes
from galenatack.estimates import request_features
from galenatack.model import caller_request
from tests.placement import fleet_load

ROUTE = fleet_load.route(name="r")


def features(path="/", method="GET", size=0, tenant=""):
    """Returns the features of a request."""
    request = caller_request.CallerRequest(
        "", method, "h", path, (), bytes(size), 0
    )
    return request_features.of(request, ROUTE, tenant)


class TestCostClasses(unittest.TestCase):
    def setUp(self):
        self.classes = cost_classes.CostClasses()
        self.rng = random.Random(1)

    def learn(self, work_ms, seen, calls=1):
        """Adds calls whose work varies as that of real ones."""
        for _ in range(calls):
            varied_ms = work_ms * self.rng.lognormvariate(-0.1, 0.45)
            self.classes.record("r", seen, varied_ms)

    def cost_ms(self, seen):
        """Returns the estimate for a request."""
        return self.classes.find("r", seen).cost_ms

    def test_each_visible_difference_is_learned(self):
        """Path, method, size of the body and tenant may tell the cost."""
        for cheap, costly in (
            (features("/a/x"), features("/b/x")),
            (features("/a/x/7"), features("/a/y/8")),
            (features(method="GET"), features(method="PUT")),
            (features(size=10), features(size=50_000)),
            (features(tenant="t-1"), features(tenant="t-2")),
        ):
            self.classes = cost_classes.CostClasses()
            for _ in range(300):
                self.learn(20.0, cheap)
                self.learn(200.0, costly)
            self.assertLess(self.cost_ms(cheap), 30.0)
            self.assertGreater(self.cost_ms(costly), 150.0)

    def test_a_difference_that_only_the_tail_makes_is_learned(self):
        """The median of both kinds is the same."""
        for _ in range(1500):
            self.learn(20.0, features("/a"))
            is_long = self.rng.random() < 0.1
            self.learn(500.0 if is_long else 20.0, features("/b"))
        self.assertGreater(
            self.cost_ms(features("/b")), 2 * self.cost_ms(features("/a"))
        )

    def test_classes_that_do_not_differ_are_not_split_off(self):
        """A class that noise made would halve the samples of both."""
        for _ in range(20_000):
            path = f"/{self.rng.choice('abcdef')}/{self.rng.randrange(9999)}"
            costly = self.rng.random() < 0.2
            self.learn(200.0 if costly else 20.0, features(path))
        self.assertEqual(self.classes.split_total, 0)

    def test_a_class_that_no_longer_differs_is_merged(self):
        """Its samples help to estimate the others again."""
        for work_ms in (200.0, 20.0):
            for _ in range(800):
                self.learn(20.0, features("/a"))
                self.learn(work_ms, features("/b"))
        self.assertFalse(self.classes.is_split("r"))

    def test_an_unknown_kind_gets_the_estimate_of_its_parent(self):
        """A new tenant or path is not without an estimate."""
        for _ in range(300):
            self.learn(20.0, features("/a"))
            self.learn(200.0, features("/b"))
        self.assertEqual(
            self.cost_ms(features("/c")), self.cost_ms(features("/a"))
        )

    def test_memory_is_bounded_whatever_callers_send(self):
        """Paths and routes come from outside."""
        for number in range(30_000):
            self.classes.record(
                f"r-{number % 100}",
                features(f"/{number}x/{number * 7}y", tenant=str(number)),
                10.0 ** (number % 5),
            )
        self.assertLessEqual(len(self.classes._roots), cost_classes.MAX_ROUTES)
        self.assertLessEqual(self.classes.split_total, cost_classes.MAX_CLASSES)

    def test_a_frequent_value_is_learned_among_identifiers(self):
        """Identifiers in paths hold all places of values at first."""
        for number in range(2000):
            self.learn(20.0, features(f"/x{number}"), 2)
            self.learn(200.0, features("/report"))
        self.assertGreater(self.cost_ms(features("/report")), 150.0)

    def test_the_names_of_classes_of_evicted_routes_are_forgotten(self):
        """A route that left the configuration holds no place for ever."""
        for _ in range(300):
            self.learn(20.0, features("/a"))
            self.learn(200.0, features("/b"))
        for number in range(cost_classes.MAX_ROUTES):
            self.classes.record(f"other-{number}", features(), 1.0)
        self.assertEqual(self.classes.split_total, 0)
