"""Tests of the overlay ring."""

import unittest

from galenatack.membership import ring

DESIGN_SCALE_NODES = 367
"""Nodes of a data centre at the design scale."""

MAX_HOPS = {12: 6, 48: 6, DESIGN_SCALE_NODES: 6}
"""Maximum hops to the farthest node by number of nodes, from docs/design.md."""


def _links(count):
    names = [f"n{number}" for number in range(count)]
    links = {name: set() for name in names}
    for name in names:
        for successor in ring.successors(name, names):
            links[name].add(successor)
            links[successor].add(name)
    return links


def _hops(links, start, *, without=frozenset()):
    hops = {start: 0}
    frontier = [start]
    while frontier:
        reached = []
        for name in frontier:
            for other in sorted(links[name] - without):
                if other not in hops:
                    hops[other] = hops[name] + 1
                    reached.append(other)
        frontier = reached
    return hops


class TestSuccessors(unittest.TestCase):
    def test_reaches_all(self):
        """Data centres of any size are connected, with bounded degree."""
        for count in (1, 2, 3, 4, 5, 8, 12, 48, DESIGN_SCALE_NODES):
            with self.subTest(count):
                links = _links(count)
                self.assertEqual(len(_hops(links, "n0")), count)
                self.assertLessEqual(max(map(len, links.values())), 8)
                self.assertNotIn("n0", links["n0"])

    def test_hops(self):
        """A flood reaches all nodes within the maximum hops."""
        for count, max_hops in MAX_HOPS.items():
            with self.subTest(count):
                hops = _hops(_links(count), "n0")
                self.assertLessEqual(max(hops.values()), max_hops)

    def test_one_failed_node(self):
        """The overlay stays connected without any single node."""
        links = _links(48)
        for name in links:
            start = "n0" if name != "n0" else "n1"
            hops = _hops(links, start, without={name})
            self.assertEqual(len(hops), 47)
