"""Tests of the timeouts of suspicions."""

import unittest

from galenatack.membership import member_table
from galenatack.membership import node_roles
from galenatack.membership import suspicion
from tests.fakes import manual_clock
from tests.fakes import member_records


class TestSuspicion(unittest.TestCase):
    def setUp(self):
        """Creates a table with one other member."""
        self.clock = manual_clock.ManualClock()
        own = member_records.build("own")
        self.table = member_table.MemberTable(own=own, clock=self.clock)
        self.table.merge((member_records.build("n1"),))
        self.suspicion = suspicion.Suspicion(table=self.table, clock=self.clock)

    def test_only_an_announced_stop_is_marked_as_such(self):
        """Others may be cut off and use their share of the quotas."""
        leaving = member_records.build("n2")._replace(status="leaving")
        self.table.merge((leaving,))
        self.suspicion.on_link_lost("n1")
        self.suspicion.on_link_lost("n2")
        self.clock.advance(100.0)
        self.suspicion.expire()
        for name, has_left in (("n1", False), ("n2", True)):
            record = self.table.get(name)
            self.assertEqual(
                (record.status, record.has_left), ("dead", has_left)
            )

    def test_expires_after_the_timeout(self):
        """A suspect is declared dead after 3 s and not before."""
        self.suspicion.on_link_lost("n1")
        self.clock.advance(suspicion.SUSPICION_TIMEOUT_S - 0.1)
        self.assertEqual(self.suspicion.expire(), ())
        self.clock.advance(0.1)
        (dead,) = self.suspicion.expire()
        self.assertEqual((dead.node_id, dead.status), ("n1", "dead"))

    def test_received_suspicion_expires_later(self):
        """A suspicion received from another node has a longer timeout."""
        record = member_records.build("n1", status="suspect")
        self.table.merge((record,))
        self.clock.advance(suspicion.SUSPICION_TIMEOUT_S)
        self.assertEqual(self.suspicion.expire(), ())
        self.clock.advance(suspicion.RECEIVED_EXTRA_S)
        self.assertEqual(len(self.suspicion.expire()), 1)

    def test_suspended_process(self):
        """After a suspension, the process has time to read refutations."""
        self.suspicion.on_link_lost("n1")
        self.clock.advance(suspicion.SUSPICION_TIMEOUT_S + 60)
        self.suspicion.restart_timers()
        self.assertEqual(self.suspicion.expire(), ())
        self.table.merge((member_records.build("n1", incarnation=2),))
        self.clock.advance(suspicion.SUSPICION_TIMEOUT_S + 60)
        self.assertEqual(self.suspicion.expire(), ())

    def test_new_suspicion_restarts_the_timeout(self):
        """A second suspicion after a refutation has the full timeout."""
        self.suspicion.on_link_lost("n1")
        self.clock.advance(suspicion.SUSPICION_TIMEOUT_S - 0.1)
        self.table.merge((member_records.build("n1", incarnation=2),))
        self.suspicion.on_link_lost("n1")
        self.clock.advance(0.2)
        self.assertEqual(self.suspicion.expire(), ())

    def test_other_data_centre_is_not_suspected(self):
        """A single broken carrier link does not raise a suspicion."""
        self.table.merge((member_records.build("n2", data_centre="a2"),))
        self.assertEqual(self.suspicion.on_link_lost("n2"), ())


class TestGroups(unittest.TestCase):
    def setUp(self):
        """Creates a table with the own node and two of another region."""
        self.clock = manual_clock.ManualClock()
        build = member_records.build
        own = build("own")
        self.table = member_table.MemberTable(own=own, clock=self.clock)
        self.remote = [
            build(name, data_centre="b1", region="b") for name in ("b0", "b1")
        ]
        self.table.merge(self.remote)
        self.suspicion = suspicion.Suspicion(table=self.table, clock=self.clock)
        self.suspicion.check_groups(["b0"])

    def _check_after_timeout(self, *neighbours):
        self.clock.advance(suspicion.GROUP_TIMEOUT_S)
        return self.suspicion.check_groups(neighbours)

    def test_lost_as_a_whole(self):
        """All members of a region without a link are suspected together."""
        changed = self._check_after_timeout()
        self.assertEqual({r.node_id for r in changed}, {"b0", "b1"})

    def test_a_group_that_was_never_linked_is_suspected(self):
        """It may have been cut off before the first link to it was noticed."""
        unlinked = suspicion.Suspicion(table=self.table, clock=self.clock)
        self.assertEqual(unlinked.check_groups([]), ())
        self.clock.advance(suspicion.GROUP_TIMEOUT_S)
        changed = unlinked.check_groups([])
        self.assertEqual({r.node_id for r in changed}, {"b0", "b1"})

    def test_one_link_is_enough(self):
        """A region is not suspected while one link to it is open."""
        self.assertEqual(self._check_after_timeout("b1"), ())

    def test_once_for_each_loss(self):
        """Members that refute over another path are not suspected again."""
        self._check_after_timeout()
        self.table.merge(r._replace(incarnation=2) for r in self.remote)
        self.assertEqual(self._check_after_timeout(), ())
        self.suspicion.check_groups(["b0"])
        self.assertEqual(len(self._check_after_timeout()), 2)

    def test_role_passed_on(self):
        """A former carrier does not suspect groups whose links it closed.

        Without this, 48 nodes on loopback raised 60 false suspicions within
        12 s of their start.
        """
        others = [member_records.build(f"a{n}") for n in range(40)]
        self.table.merge(others)
        self.assertFalse(node_roles.carrier_peers(self.table))
        self.assertEqual(self._check_after_timeout(), ())
