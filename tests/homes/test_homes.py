"""Tests of the regions in which calls may run."""

import unittest

from galenatack import exceptions
from galenatack.homes import evacuations
from galenatack.homes import homes
from galenatack.homes import permitted_targets
from galenatack.membership import member_table
from galenatack.model import tenant
from galenatack.traffic import target_directory
from tests.fakes import manual_clock
from tests.placement import fleet_load

NORTH = fleet_load.member("n", region="north", data_centre="dc-n")
SOUTH = fleet_load.member("s", region="south", data_centre="dc-s")
EAST = fleet_load.member("e", region="east", data_centre="dc-e")
ALL = (NORTH, SOUTH, EAST)


def route(*regions):
    """Returns a route with these homes."""
    return fleet_load.route()._replace(home_regions=regions)


def customer(*regions):
    """Returns a tenant with these homes."""
    return tenant.Tenant("t", (), home_regions=regions)


class TestHomes(unittest.TestCase):
    def test_route_and_tenant_bind_both(self):
        """A body in a region that one of the two forbids cannot be undone."""
        cases = (
            (route(), None, ALL),
            (route(), customer(), ALL),
            (route("south"), None, (SOUTH,)),
            (route(), customer("north", "east"), (NORTH, EAST)),
            (route("north", "south"), customer("north", "east"), (NORTH,)),
            (route("north"), customer("south"), ()),
        )
        for of_route, of_tenant, expected in cases:
            with self.subTest(route=of_route.home_regions, tenant=of_tenant):
                permitted = homes.permitted(ALL, of_route, of_tenant)
                self.assertEqual(tuple(permitted), expected)


class TestPermittedTargets(unittest.TestCase):
    def setUp(self):
        self.clock = manual_clock.ManualClock()
        self.members = member_table.MemberTable(
            own=fleet_load.member("own")._replace(service="caller"),
            clock=self.clock,
        )
        self.members.merge(ALL)
        self.evacuations = evacuations.Evacuations(clock=self.clock)
        self.targets = permitted_targets.PermittedTargets(
            directory=target_directory.TargetDirectory(members=self.members),
            evacuations=self.evacuations,
        )

    def names(self, *, of_route=None, of_tenant=None):
        """Returns the names of the nodes that a call may be sent to."""
        by_version = self.targets.by_version(
            "s", of_route or route(), of_tenant
        )
        return {
            record.node_id
            for records in by_version.values()
            for record in records
        }

    def test_a_suspected_target_at_home_comes_before_any_elsewhere(self):
        """Ranking before the homes would leave healthy foreign ones only."""
        self.members.merge([SOUTH._replace(status="suspect")])
        self.assertEqual(self.names(of_route=route("south")), {"s"})

    def test_without_a_target_at_home_the_request_is_refused(self):
        """Not sent elsewhere; the caller is told when to come back."""
        self.members.merge([SOUTH._replace(status="dead")])
        with self.assertRaises(exceptions.NoPermittedTargetError) as raised:
            self.names(of_route=route("south"))
        self.assertEqual(
            raised.exception.retry_after_ms,
            permitted_targets.NO_HOME_RETRY_AFTER_MS,
        )

    def test_homes_without_a_common_region_are_refused_for_long(self):
        """Callers that come back each second would never succeed."""
        with self.assertRaises(exceptions.NoPermittedTargetError) as raised:
            self.names(of_route=route("south"), of_tenant=customer("north"))
        self.assertGreaterEqual(raised.exception.retry_after_ms, 10_000)

    def test_an_evacuated_data_centre_gets_nothing(self):
        """It holds at once, and no longer than until the row is deleted."""
        self.assertEqual(self.names(), {"n", "s", "e"})
        self.evacuations.begin("dc-n", 5)
        self.assertEqual(self.names(), {"s", "e"})
        self.evacuations.end("dc-n", 6)
        self.assertEqual(self.names(), {"n", "s", "e"})

    def test_a_call_at_home_is_refused_if_home_is_evacuated(self):
        """Neither the evacuation nor the homes may give way."""
        self.evacuations.begin("dc-n", 5)
        with self.assertRaises(exceptions.NoPermittedTargetError):
            self.names(of_route=route("north"))

    def test_the_refusal_of_a_gate_counts_for_its_data_centre(self):
        """Three refusals there would end a call that others could run."""
        self.targets.note_refusal(NORTH)
        self.assertEqual(self.names(), {"s", "e"})
        self.clock.advance(evacuations.REFUSAL_TTL_S)
        self.assertEqual(self.names(), {"n", "s", "e"})
