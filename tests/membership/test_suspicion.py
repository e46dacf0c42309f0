"""Tests of the timers of suspicion."""

import unittest

from galenatack.membership import member_table
from galenatack.membership import node_roles
from galenatack.membership import suspicion
from tests.fakes import manual_clock
from tests.fakes import member_records


class TestSuspicion(unittest.TestCase):
    def setUp(self):
        """Makes a table with one member besides the own one."""
        self.clock = manual_clock.ManualClock()
        own = member_records.build("own")
        self.table = member_table.MemberTable(own=own, clock=self.clock)
        self.table.merge((member_records.build("n1"),))
        self.suspicion = suspicion.Suspicion(table=self.table, clock=self.clock)

    def test_ends_at_its_time(self):
        """A suspect is dead after 3 s and not before."""
        self.suspicion.on_lost("n1")
        self.clock.advance(suspicion.SUSPECT_S - 0.1)
        self.assertEqual(self.suspicion.expire(), ())
        self.clock.advance(0.1)
        (dead,) = self.suspicion.expire()
        self.assertEqual((dead.node_id, dead.status), ("n1", "dead"))

    def test_others_wait_longer(self):
        """A node that heard of the suspicion ends it only later."""
        record = member_records.build("n1", status="suspect")
        self.table.merge((record,))
        self.clock.advance(suspicion.SUSPECT_S)
        self.assertEqual(self.suspicion.expire(), ())
        self.clock.advance(suspicion.OTHERS_EXTRA_S)
        self.assertEqual(len(self.suspicion.expire()), 1)

    def test_pause_of_this_process(self):
        """A process that stood still gives refutations time to be read."""
        self.suspicion.on_lost("n1")
        self.clock.advance(suspicion.SUSPECT_S + 60)
        self.suspicion.restart_timers()
        self.assertEqual(self.suspicion.expire(), ())
        self.table.merge((member_records.build("n1", incarnation=2),))
        self.clock.advance(suspicion.SUSPECT_S + 60)
        self.assertEqual(self.suspicion.expire(), ())

    def test_new_suspicion_has_its_whole_time(self):
        """A second suspicion after a refutation starts its time anew."""
        self.suspicion.on_lost("n1")
        self.clock.advance(suspicion.SUSPECT_S - 0.1)
        self.table.merge((member_records.build("n1", incarnation=2),))
        self.suspicion.on_lost("n1")
        self.clock.advance(0.2)
        self.assertEqual(self.suspicion.expire(), ())

    def test_other_data_centre_is_not_ours_to_watch(self):
        """A broken carrier link alone accuses nobody."""
        self.table.merge((member_records.build("n2", data_centre="a2"),))
        self.assertEqual(self.suspicion.on_lost("n2"), ())


class TestGroups(unittest.TestCase):
    def setUp(self):
        """Makes the only node of one region and two of another."""
        self.clock = manual_clock.ManualClock()
        build = member_records.build
        own = build("own")
        self.table = member_table.MemberTable(own=own, clock=self.clock)
        self.far = [
            build(name, data_centre="b1", region="b") for name in ("b0", "b1")
        ]
        self.table.merge(self.far)
        self.suspicion = suspicion.Suspicion(table=self.table, clock=self.clock)
        self.suspicion.check_groups(["b0"])

    def _later(self, *neighbours):
        self.clock.advance(suspicion.GROUP_LOST_S)
        return self.suspicion.check_groups(neighbours)

    def test_lost_as_a_whole(self):
        """All members of a region without a link are suspected together."""
        changed = self._later()
        self.assertEqual({r.node_id for r in changed}, {"b0", "b1"})

    def test_one_link_is_enough(self):
        """A region that one link still reaches is not suspected."""
        self.assertEqual(self._later("b1"), ())

    def test_once_for_each_loss(self):
        """Members that refute over another path are not accused again."""
        self._later()
        self.table.merge(r._replace(incarnation=2) for r in self.far)
        self.assertEqual(self._later(), ())
        self.suspicion.check_groups(["b0"])
        self.assertEqual(len(self._later()), 2)

    def test_duty_passed_on(self):
        """A node that is no carrier any more does not miss its old links.

        Without this, 48 nodes on loopback raised 60 false suspicions within
        12 s of their start.
        """
        others = [member_records.build(f"a{n}") for n in range(40)]
        self.table.merge(others)
        epoch = node_roles.epoch(self.clock.wall_ms())
        self.assertFalse(node_roles.carrier_peers(self.table, epoch))
        self.assertEqual(self._later(), ())
