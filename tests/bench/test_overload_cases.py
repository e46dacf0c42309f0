"""Tests of tenants and of calls that runs make when capacity is short."""

import unittest

from bench import overload
from bench import overload_crowd
from bench import overload_world

SHORT = overload_world.Load(
    seed=1, factor=3.0, is_limited=True, warm_s=2.0, seconds=4.0
)


class TestOverloadCases(unittest.TestCase):
    def test_the_crowd_of_a_tenant_takes_no_room_of_others(self):
        """One of ten tenants asks for twice what all targets take."""
        load = SHORT._replace(crowd=overload_crowd.Crowd())
        _, least = overload.tenant_figures(load, overload_world.play(load))
        self.assertGreaterEqual(least, 0.8)

    def test_runs_that_hold_their_slots_do_not_bring_the_goodput_down(self):
        """Their calls wait at the same targets, behind new runs if late."""
        full, overloaded = (
            overload_world.play(
                SHORT._replace(nested=0.5, factor=factor)
            ).count("in-time")
            for factor in (1.0, 3.0)
        )
        self.assertGreaterEqual(overloaded, 0.95 * full)
