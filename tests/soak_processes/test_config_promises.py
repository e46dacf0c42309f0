"""Tests of the checks of a configuration that changes."""

import unittest

from soak import config_promises
from soak import disruption
from soak import record
from soak import sighting

ROUTE = 1
A = frozenset("a")
B = frozenset("b")
REMOVED = frozenset()


def sent(at_s, outcome, **more):
    """Returns a request that was run by a service, or not found if None."""
    fields = {
        "attempt_id": "one",
        "route": ROUTE,
        "form": "plain",
        "depth": 1,
        "node": 0,
        "life": 1,
        "sent_s": at_s,
        "ended_s": at_s + 0.1,
        "status": 404 if outcome is None else 200,
        "is_own": True,
        "service": outcome or "",
    }
    return sighting.Sighting(**(fields | more))


class TestConfigPromises(unittest.TestCase):
    def setUp(self):
        self.seen = record.Record()
        self.seen.history.add(1, {ROUTE: A}, now_s=0.0)

    def change(self, version, services, *, at_s):
        """Adds a version that moves or removes the route."""
        self.seen.history.add(version, {ROUTE: services}, now_s=at_s)

    def disrupt(self, from_s, to_s, **more):
        """Adds a disruption."""
        self.seen.disruptions.append(
            disruption.Disruption(from_s, to_s, **more)
        )

    def check(self, sightings, *names):
        """Checks which promises are reported as broken."""
        self.seen.sightings = sightings
        found = config_promises.check(self.seen)
        self.assertEqual(len(found), len(names), found)
        for line, name in zip(found, names, strict=True):
            self.assertIn(name, line)

    def test_a_route_run_by_the_old_service(self):
        self.change(4, B, at_s=10.0)
        self.check([sent(12.4, "a")])
        self.check([sent(12.6, "b")])
        self.check([sent(12.6, "a")], "not in force")

    def test_a_removed_route_that_is_run(self):
        self.change(4, REMOVED, at_s=10.0)
        self.check([sent(12.6, None)])
        self.check([sent(12.6, "a")], "not in force")

    def test_an_added_route_that_is_not_found(self):
        self.change(4, REMOVED, at_s=1.0)
        self.change(5, B, at_s=10.0)
        self.check([sent(12.4, None)])
        self.check([sent(12.6, None)], "not in force")

    def test_a_route_that_all_versions_have_is_not_found(self):
        """This holds for a node that is out of touch, too."""
        self.disrupt(9.0, 11.0)
        self.check([sent(10.0, None)], "no version allows")

    def test_a_version_ahead_of_its_writing_explains_nothing(self):
        self.change(4, B, at_s=10.0)
        self.check([sent(9.0, "b")], "no version allows")

    def test_a_disrupted_node_is_late(self):
        """Others are not, and it is in touch again after a while."""
        self.change(4, B, at_s=10.0)
        self.disrupt(9.0, 11.0, nodes=frozenset({0}))
        self.check([sent(14.9, "a")])
        self.check([sent(14.9, "a", node=1)], "not in force")
        self.check([sent(15.1, "a")], "not in force")

    def test_a_store_that_serves_in_part_stretches_the_bound(self):
        """It doesn't suspend it."""
        self.change(4, B, at_s=10.0)
        self.disrupt(9.0, 30.0, is_partial=True)
        self.check([sent(17.4, "a")])
        self.check([sent(17.6, "a")], "not in force")

    def test_a_version_that_a_restore_lost(self):
        """It is acknowledged again once the operator has written it again."""
        self.change(4, B, at_s=10.0)
        self.seen.history.lose(kept=1, now_s=11.0)
        self.check([sent(20.0, "a")])
        self.seen.history.rewrite(now_s=20.0)
        self.check([sent(22.4, "a")])
        self.check([sent(22.6, "a")], "not in force")

    def test_a_node_that_goes_back(self):
        """No disruption excuses it, but a new process may start older."""
        self.change(4, B, at_s=10.0)
        self.disrupt(9.0, 15.0)
        self.check([sent(10.5, "b"), sent(10.8, "a")])
        self.check([sent(10.5, "b"), sent(10.9, "a")], "went back")
        self.check([sent(10.5, "b"), sent(10.9, "a", life=2)])
        self.check([sent(10.5, "b"), sent(10.9, "a", node=1)])

    def test_a_node_that_goes_back_while_a_route_returns(self):
        """What a version shares with an older one proves neither."""
        self.change(4, B, at_s=10.0)
        self.change(5, A, at_s=11.0)
        self.check([sent(10.5, "b"), sent(11.5, "a"), sent(12.0, "a")])
        self.check(
            [sent(10.5, "b"), sent(11.5, "a"), sent(12.0, "b")], "went back"
        )

    def test_a_proper_request_that_is_turned_away(self):
        for status in (400, 413, 431):
            self.check([sent(10.0, "a", status=status)], "DENIED")

    def test_an_answer_of_another_request(self):
        self.check([sent(10.0, "a", is_own=False)], "another request")
