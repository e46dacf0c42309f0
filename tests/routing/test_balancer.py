"""Tests of the balancer and its limits."""

import collections
import random
import unittest

from galenatack import exceptions
from galenatack.routing import balancer
from galenatack.routing import byte_budget
from galenatack.routing import retry_budget
from galenatack.routing import target_member
from tests.fakes import manual_clock


def _member(node_id: str, tier: int = 0, incarnation: int = 1):
    return target_member.TargetMember(node_id, incarnation, 4, tier)


class TestBalancer(unittest.TestCase):
    def setUp(self):
        """Creates a balancer with a manual clock."""
        self.clock = manual_clock.ManualClock()
        self.balancer = balancer.Balancer(
            clock=self.clock, rng=random.Random(5)
        )

    def _choose(self, members, *, slow_start_ms=0, may_cross=True):
        return self.balancer.choose(
            members, slow_start_ms=slow_start_ms, may_cross=may_cross
        )

    def test_nearest_tier_first(self):
        """Calls leave the data centre only if it has no available target."""
        near, region, far = (_member(f"n{tier}", tier) for tier in range(3))
        members = [far, region, near]
        self.assertEqual(self._choose(members), near)
        self.balancer.load(near).on_connect_failure(0.0)
        self.assertEqual(self._choose(members), region)
        self.balancer.load(region).in_flight = 8
        self.assertEqual(self._choose(members), far)
        self.assertEqual(self._choose(members, may_cross=False), near)

    def test_full_targets_are_overload(self):
        """Full targets raise `OverloadedError`, no target `NoTargetError`."""
        member = _member("a")
        self.balancer.load(member).in_flight = 8
        with self.assertRaises(exceptions.OverloadedError):
            self._choose([member])
        with self.assertRaises(exceptions.NoTargetError):
            self._choose([])

    def test_slow_start(self):
        """A new target gets a small share that grows during slow start."""
        old = _member("old")
        self.balancer.load(old)
        self.clock.advance(60)
        new = _member("new")
        shares = []
        for _ in range(2):
            picks = collections.Counter()
            for _ in range(200):
                # Both have the same load, so the weight decides.
                for member in (old, new):
                    self.balancer.load(member).in_flight = 2
                picks[self._choose([old, new], slow_start_ms=10_000)] += 1
            shares.append(picks[new])
            self.clock.advance(30)
        self.assertEqual(shares[0], 0)
        self.assertGreater(shares[1], 50)

    def test_restart_resets_the_load(self):
        """A new incarnation clears the ejection of the old one."""
        self.balancer.load(_member("a")).on_connect_failure(0.0)
        fresh = self.balancer.load(_member("a", incarnation=2))
        self.assertEqual(fresh.ejected_until_s, 0.0)

    def test_ejection_doubles_to_its_bound(self):
        """Failures eject a target for 1, 2, 4 and at most 30 s."""
        load = self.balancer.load(_member("a"))
        ejection_ends = []
        for _ in range(7):
            load.on_connect_failure(0.0)
            ejection_ends.append(load.ejected_until_s)
        self.assertEqual(ejection_ends, [1, 2, 4, 8, 16, 30, 30])

    def test_limit_halves_once_a_round_trip(self):
        """A burst of refusals halves the limit once; successes restore it."""
        load = self.balancer.load(_member("a"))
        for _ in range(10):
            load.on_overload(1.0)
        self.assertEqual(load.limit, 4)
        load.on_overload(2.0)
        self.assertEqual(load.limit, 2)
        for _ in range(200):
            load.on_success()
        self.assertEqual(load.limit, 8)


class TestBudgets(unittest.TestCase):
    def test_bytes_refill_by_time(self):
        """An exhausted byte budget refuses until it is refilled."""
        clock = manual_clock.ManualClock()
        budget = byte_budget.ByteBudget(clock=clock)
        self.assertTrue(budget.allows("s", 10_000, 1000))
        budget.charge("s", 10_000, 30_000)
        self.assertFalse(budget.allows("s", 10_000, 1000))
        clock.advance(1.0)
        self.assertFalse(budget.allows("s", 10_000, 1000))
        clock.advance(1.5)
        self.assertTrue(budget.allows("s", 10_000, 1000))

    def test_retries_are_a_share_of_calls(self):
        """Out of 1,000 calls that all need a retry, about 100 get one."""
        budget = retry_budget.RetryBudget()
        granted = 0
        for _ in range(1000):
            budget.record_first_attempt("s", 100)
            granted += budget.try_spend("s")
        self.assertLessEqual(granted, 110)
        self.assertGreaterEqual(granted, 100)
