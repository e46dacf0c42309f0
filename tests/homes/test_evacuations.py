"""Tests of which rows begin and end an evacuation."""

import unittest

from galenatack.config import row_mirror
from galenatack.homes import evacuations
from galenatack.model import evacuation_record
from galenatack.model import store_revision
from galenatack.model import table_page
from galenatack.model import table_row
from galenatack.platform import evacuation_rows
from tests.fakes import manual_clock

OTHER_KEY = "config"


def revision(number, era=0):
    """Returns the revision of a number."""
    return store_revision.make(era, number)


def row(number, era=0, *, key="evacuate/z", is_deleted=False):
    """Returns a row of the operator, or its tombstone."""
    value = b"" if is_deleted else b"{}"
    return table_row.TableRow(
        "op", key, value, revision(number, era), is_deleted
    )


class Node:
    """The mirror and the evacuations of one node."""

    def __init__(self):
        self.clock = manual_clock.ManualClock()
        self.mirror = row_mirror.RowMirror(tables=("op",))
        self.known = evacuations.Evacuations(clock=self.clock)
        self.changes = []
        self.known.subscribe(lambda *change: self.changes.append(change))
        self.mirror.subscribe(self.apply)

    def apply(self, rows):
        """Applies changed rows as `app.mesh_callbacks` does."""
        for changed in rows:
            place = evacuation_rows.data_centre(changed)
            if place is None:
                continue
            if changed.is_deleted:
                self.known.end(place, changed.revision)
            else:
                self.known.begin(place, changed.revision)

    def read(self, *rows, number, era=0):
        """Reads the whole table from the store."""
        self.mirror.replace(
            "op", table_page.TablePage(rows, revision(number, era))
        )

    @property
    def is_evacuated(self):
        """Whether the data centre is evacuated."""
        return self.known.has_evacuated("z")


class TestEvacuations(unittest.TestCase):
    def setUp(self):
        self.node = Node()

    def test_a_row_begins_it_and_its_deletion_ends_it(self):
        """Each change is told once."""
        self.node.mirror.apply([row(5)])
        self.node.mirror.apply([row(6)])
        self.assertTrue(self.node.is_evacuated)
        self.node.mirror.apply([row(7, is_deleted=True)])
        self.assertFalse(self.node.is_evacuated)
        self.assertEqual(self.node.changes, [("z", True), ("z", False)])

    def test_a_deletion_that_only_a_read_shows_ends_it(self):
        """The tombstone was no longer in the history of the store."""
        self.node.mirror.apply([row(5)])
        self.node.read(row(9, key=OTHER_KEY), number=9)
        self.assertFalse(self.node.is_evacuated)

    def test_a_late_row_does_not_begin_it_again(self):
        """A peer that was cut off hands on the deleted row."""
        self.node.mirror.apply([row(5)])
        self.node.mirror.apply([row(7, is_deleted=True)])
        self.node.mirror.apply([row(6)])
        self.assertFalse(self.node.is_evacuated)

    def test_a_row_that_a_restored_store_lost_stays_in_force(self):
        """The copy is older than the row; the operator took nothing back."""
        self.node.mirror.apply([row(5)])
        self.node.read(row(3, era=1, key=OTHER_KEY), number=3, era=1)
        self.assertTrue(self.node.is_evacuated)
        self.node.mirror.apply([row(9, era=1)])
        self.node.mirror.apply([row(10, era=1, is_deleted=True)])
        self.assertFalse(self.node.is_evacuated)

    def test_a_row_that_a_restored_store_shows_again_is_in_force(self):
        """Nodes that start read it, and all nodes must agree."""
        self.node.mirror.apply([row(5)])
        self.node.mirror.apply([row(7, is_deleted=True)])
        self.node.read(row(5, era=1), number=5, era=1)
        self.assertTrue(self.node.is_evacuated)

    def test_a_node_that_starts_after_the_loss_learns_of_it(self):
        """Its rows are as new as those of its peers, so that it pulls none."""
        self.node.mirror.apply([row(5)])
        self.node.read(row(3, era=1, key=OTHER_KEY), number=3, era=1)
        started = Node()
        started.read(row(3, era=1, key=OTHER_KEY), number=3, era=1)
        self.assertFalse(started.is_evacuated)
        started.known.merge(self.node.known.records())
        self.assertTrue(started.is_evacuated)

    def test_a_node_that_missed_the_end_learns_of_it(self):
        """Cut off from the deletion until after a restore, it sees a loss."""
        cut_off = Node()
        for node in (self.node, cut_off):
            node.mirror.apply([row(5)])
        self.node.mirror.apply([row(6, is_deleted=True)])
        cut_off.read(row(7, era=1, key=OTHER_KEY), number=7, era=1)
        self.assertTrue(cut_off.is_evacuated)
        cut_off.known.merge(self.node.known.records())
        self.assertFalse(cut_off.is_evacuated)

    def test_peers_are_told_nothing_in_ordinary_times(self):
        """Each heartbeat on each link would carry it for the node's life."""
        self.assertEqual(self.node.known.records(), ())
        self.node.mirror.apply([row(5)])
        self.node.mirror.apply([row(6, is_deleted=True)])
        self.assertEqual(len(self.node.known.records()), 1)
        self.node.clock.advance(evacuations.ENDED_KEPT_S)
        self.assertEqual(self.node.known.records(), ())

    def test_a_row_that_is_written_again_shows(self):
        """Deleted before a node has it, it looks lost there and stays."""
        self.node.mirror.apply([row(5)])
        self.node.read(row(3, era=1, key=OTHER_KEY), number=3, era=1)
        self.assertEqual(self.node.known.in_force(), {"z": revision(5)})
        self.node.mirror.apply([row(9, era=1)])
        self.assertEqual(self.node.known.in_force(), {"z": revision(9, 1)})
        self.node.mirror.apply([row(10, era=1, is_deleted=True)])
        self.assertEqual(self.node.known.in_force(), {})

    def test_ended_evacuations_give_way_to_a_real_one(self):
        """Names that were tried or misspelt would fill the table for good."""
        known = self.node.known
        names = [f"z{n}" for n in range(evacuations.MAX_DATA_CENTRES)]
        for number, name in enumerate(names):
            self.node.clock.advance(1.0)
            known.begin(name, revision(10 * number + 1))
            known.end(name, revision(10 * number + 2))
        known.begin("z", revision(5000))
        self.assertTrue(self.node.is_evacuated)
        kept = {record.data_centre for record in known.records()}
        self.assertEqual(kept, {*names[1:], "z"})

    def test_evacuations_in_force_do_not_give_way(self):
        """A data centre would get calls again that the operator forbids."""
        names = [f"z{n}" for n in range(evacuations.MAX_DATA_CENTRES)]
        for name in names:
            self.node.known.begin(name, revision(5))
        self.node.known.begin("z", revision(6))
        self.assertEqual(self.node.known.active(), set(names))

    def test_an_ended_evacuation_of_a_peer_takes_no_place(self):
        """Peers that remember different ones would replace them for ever."""
        names = [f"z{n}" for n in range(evacuations.MAX_DATA_CENTRES)]
        for name in names:
            self.node.known.begin(name, revision(5))
            self.node.known.end(name, revision(6))
        before = self.node.known.records()
        record = evacuation_record.EvacuationRecord("z", 5, 6)
        self.node.known.merge([record])
        self.assertEqual(self.node.known.records(), before)


class TestEvacuationRows(unittest.TestCase):
    def test_only_keys_of_the_operator_name_data_centres(self):
        """Other rows of the table keep their meaning; no value is read."""
        named = row(1)
        self.assertEqual(evacuation_rows.data_centre(named), "z")
        broken = named._replace(value=b"{")
        self.assertEqual(evacuation_rows.data_centre(broken), "z")
        for other in (
            row(1, key="config"),
            row(1, key="rollout/evacuate/z"),
            row(1, key="evacuate/"),
            named._replace(table="other"),
        ):
            self.assertIsNone(evacuation_rows.data_centre(other))
