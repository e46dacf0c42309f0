"""Tests of the node roles."""

import unittest

from galenatack.membership import member_table
from galenatack.membership import node_roles
from tests.fakes import manual_clock
from tests.fakes import member_records

PLACES = [
    (data_centre, region)
    for region, names in {"a": ["a1", "a2"], "b": ["b1", "b2"]}.items()
    for data_centre in names
]


def _records(per_data_centre=6, **changes):
    return [
        member_records.build(
            f"{data_centre}-{number}",
            data_centre=data_centre,
            region=region,
            **changes,
        )
        for data_centre, region in PLACES
        for number in range(per_data_centre)
    ]


def _tables(records):
    tables = {}
    for record in records:
        clock = manual_clock.ManualClock()
        table = member_table.MemberTable(own=record, clock=clock)
        table.merge(records)
        tables[record.node_id] = table
    return tables


class TestReaders(unittest.TestCase):
    def test_two_in_each_data_centre(self):
        """Each data centre has exactly two readers."""
        tables = _tables(_records())
        readers = [n for n, t in tables.items() if node_roles.is_reader(t)]
        for data_centre, _ in PLACES:
            local = [n for n in readers if n.startswith(data_centre)]
            self.assertEqual(len(local), 2, readers)

    def test_takes_over(self):
        """When a reader dies, exactly one other node replaces it."""
        tables = _tables(_records())
        before = {n for n, t in tables.items() if node_roles.is_reader(t)}
        gone = sorted(before)[0]
        for table in tables.values():
            table.merge((table.get(gone)._replace(status="dead"),))
        del tables[gone]
        after = {n for n, t in tables.items() if node_roles.is_reader(t)}
        self.assertEqual(len(after - before), 1)
        self.assertEqual(before - after, {gone})

    def test_spread_over_roles_and_data_centres(self):
        """No position in the order of names is preferred."""
        holders = {
            node_roles.rank([str(n) for n in range(12)], f"{role}/{name}")[0]
            for role in ("reader", "join")
            for name in range(24)
        }
        self.assertGreater(len(holders), 6)

    def test_leaving_node_is_no_reader(self):
        """A leaving node is no reader while there is a serving one."""
        records = _records(2)
        records[0] = records[0]._replace(status="leaving")
        tables = _tables(records)
        self.assertFalse(node_roles.is_reader(tables[records[0].node_id]))

    def test_new_deployment(self):
        """There are readers even while all nodes are joining."""
        tables = _tables(_records(status="joining"))
        self.assertTrue(any(node_roles.is_reader(t) for t in tables.values()))


class TestCarriers(unittest.TestCase):
    def test_different_data_centres(self):
        """The two carriers of a region are in different data centres."""
        table = _tables(_records())["a1-0"]
        names = node_roles.carriers(table, "b")
        self.assertEqual({n[:2] for n in names}, {"b1", "b2"})
        for gone in range(5):
            record = table.get(f"b1-{gone}")
            table.merge((record._replace(status="dead"),))
            names = node_roles.carriers(table, "b")
            self.assertEqual({n[:2] for n in names}, {"b1", "b2"})

    def test_single_data_centre(self):
        """A region with one data centre still has two carriers."""
        table = _tables(_records())["a1-0"]
        for record in list(table.live()):
            if record.data_centre == "b2":
                table.merge((record._replace(status="dead"),))
        self.assertEqual(len(node_roles.carriers(table, "b")), 2)

    def test_links_agree(self):
        """Both ends of each carrier link agree; all locations are linked."""
        tables = _tables(_records())
        wanted = {n: node_roles.carrier_peers(t) for n, t in tables.items()}
        for name, peers in wanted.items():
            for peer in peers:
                self.assertIn(name, wanted[peer])
        pairs = {(n[:2], p[:2]) for n, peers in wanted.items() for p in peers}
        self.assertLessEqual({("a1", "a2"), ("b1", "b2")}, pairs)
        self.assertTrue(any(n[0] != p[0] for n, p in pairs))
        self.assertLessEqual(sum(map(bool, wanted.values())), 12)

    def test_one_stream(self):
        """Two regions exchange streams over one link in each direction."""
        tables = _tables(_records())
        streams = {
            (name, peer)
            for name, table in tables.items()
            for peer in node_roles.stream_peers(table)
        }
        self.assertEqual(len(streams), 2)
        (left, right) = sorted(streams)
        self.assertEqual(left, right[::-1])
