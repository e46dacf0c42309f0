"""Tests of the timers of suspicion."""

import unittest

from galenatack.membership import member_table
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
