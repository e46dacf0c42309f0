"""Tests of what placement says of each target for a request."""

import types
import unittest
from unittest import mock

from galenatack import exceptions
from galenatack.model import gate_report
from galenatack.model import target_condition
from galenatack.placement import known_conditions
from galenatack.placement import target_placement
from tests.placement import fleet_load

ROUTE = fleet_load.route()
FAR = {"data_centre": "dc-c", "region": "south"}


class TestAssess(unittest.TestCase):
    def setUp(self):
        self.unlinked = set()
        self.conditions = known_conditions.KnownConditions()
        self.placement = target_placement.TargetPlacement(
            own=fleet_load.member("caller"),
            clock=types.SimpleNamespace(monotonic_s=lambda: 10.0),
            rng=mock.Mock(random=lambda: 0.0),
            is_connected=lambda node_id: node_id not in self.unlinked,
            conditions=self.conditions,
        )

    def report(self, member, ran_ms, running=1):
        """Applies the report of an answer."""
        report = gate_report.GateReport(running, 0, ran_ms, 0, 0)
        self.placement.view(member).apply_report(report, ROUTE.name, 10.0)

    def verdicts(self, members, left_ms=800.0):
        """Returns the verdict on each target by its node."""
        found = self.placement.assess(members, route=ROUTE, left_ms=left_ms)
        return {each.member.node_id: str(each.verdict) for each in found}

    def test_each_obstacle_is_named(self):
        """An operator sees why a target gets no calls."""
        names = ("good", "ejected", "refusing", "leaving", "unlinked")
        members = {name: fleet_load.member(name) for name in names}
        self.placement.view(members["ejected"]).eject(10.0)
        self.placement.view(members["refusing"]).record_refusal("r", 10.0)
        self.conditions.record(
            members["leaving"],
            target_condition.TargetCondition(is_leaving=True),
        )
        self.unlinked.add("unlinked")
        self.assertEqual(
            self.verdicts(members.values()),
            {
                "good": "lowest-cost",
                "ejected": "ejected-after-a-failed-connection",
                "refusing": "has-just-refused-this-route",
                "leaving": "leaving",
                "unlinked": "no-link",
            },
        )

    def test_costs_are_compared(self):
        """A slower, a slow far and a nearly equal target."""
        members = [
            fleet_load.member("fast"),
            fleet_load.member("near"),
            fleet_load.member("slow"),
            fleet_load.member("far", **FAR),
        ]
        for member, ran_ms in zip(members, (50, 52, 150, 300), strict=True):
            self.report(member, ran_ms)
        self.assertEqual(
            self.verdicts(members),
            {
                "fast": "lowest-cost",
                "near": "nearly-lowest-cost",
                "slow": "higher-cost",
                "far": "other-region-costs-too-much",
            },
        )

    def test_the_lowest_cost_is_what_choose_takes(self):
        """The explanation must not differ from the choice."""
        members = [fleet_load.member(str(number)) for number in range(6)]
        for member, ran_ms in zip(
            members, (90, 70, 30, 60, 80, 40), strict=True
        ):
            self.report(member, ran_ms)
        chosen = self.placement.choose(
            members, route=ROUTE, left_ms=800.0, tried=set()
        )
        verdicts = self.verdicts(members)
        self.assertEqual(verdicts[chosen.node_id], "lowest-cost")

    def test_an_answer_that_would_be_late_is_named(self):
        """The caller is told to come back."""
        member = fleet_load.member("slow")
        self.report(member, 300)
        self.assertEqual(
            self.verdicts([member], left_ms=100.0),
            {"slow": "answer-would-be-too-late"},
        )
        with self.assertRaises(exceptions.OverloadedError):
            self.placement.choose(
                [member], route=ROUTE, left_ms=100.0, tried=set()
            )

    def test_no_call_or_state_is_changed(self):
        """A question must not move the traffic."""
        member = fleet_load.member("one")
        view = self.placement.view(member)
        before = dict(vars(view))
        self.verdicts([member])
        self.assertEqual(vars(view), before)
