"""Tests of views of which nothing was heard for some time."""

import random
import unittest

from galenatack import exceptions
from galenatack.model import gate_report
from galenatack.placement import known_conditions
from galenatack.placement import target_placement
from tests.fakes import manual_clock
from tests.placement import fleet_load


class TestStaleViews(unittest.TestCase):
    def test_one_hung_answer_does_not_keep_calls_away_for_ever(self):
        """The only target of a service answered 503 for 30 s after it.

        It had hung once for the whole time-out; no call was sent that could
        have shown that it is fast again.
        """
        clock = manual_clock.ManualClock()
        member = fleet_load.member("only")
        placement = target_placement.TargetPlacement(
            own=fleet_load.member("caller"),
            clock=clock,
            rng=random.Random(1),
            is_connected=lambda node_id: True,
            conditions=known_conditions.KnownConditions(),
        )
        placement.view(member).apply_report(
            gate_report.GateReport(0, 0, 2100, 0, 0), "r", clock.monotonic_s()
        )

        def choose():
            return placement.choose(
                [member],
                route=fleet_load.route(timeout_ms=2000),
                left_ms=2000,
                tried=set(),
            )

        with self.assertRaises(exceptions.OverloadedError):
            choose()
        clock.advance(1.0)
        self.assertEqual(choose(), member)
