"""Tests of the choice between links to one peer."""

import asyncio
import types
import unittest

from galenatack.links import link_purpose
from galenatack.links import link_registry

CALLS = link_purpose.LinkPurpose.CALLS


def link(peer, *, dialled, boot_ms=1, used_s=0.0, purpose=CALLS):
    """Returns an idle link to a peer."""
    return types.SimpleNamespace(
        node_id=peer,
        record=types.SimpleNamespace(boot_ms=boot_ms),
        dialled=dialled,
        purpose=purpose,
        closed=asyncio.Event(),
        pending_requests=0,
        serving=0,
        used_s=used_s,
    )


class TestLinkRegistry(unittest.TestCase):
    def registry(self, own_id, *links):
        """Returns a registry with links, the oldest first."""
        registry = link_registry.LinkRegistry(own_id=own_id)
        for item in links:
            registry.add(item)
        return registry

    def test_both_sides_choose_the_same_of_two_simultaneous_links(self):
        """Both use the link of the lower id; the other side closes its own."""
        by_a, by_b = link("b", dialled=True), link("b", dialled=False)
        low = self.registry("a", by_a, by_b)
        self.assertIs(low.find("b", for_calls=True), by_a)
        self.assertEqual(low.surplus_calls(9.0), ())
        by_a, by_b = link("a", dialled=False), link("a", dialled=True)
        high = self.registry("b", by_a, by_b)
        self.assertIs(high.find("a", for_calls=True), by_a)
        self.assertEqual(high.surplus_calls(9.0), (by_b,))

    def test_a_link_in_use_is_not_closed(self):
        """Calls on it, sent or received, complete first."""
        by_a, by_b = link("a", dialled=False), link("a", dialled=True)
        registry = self.registry("b", by_a, by_b)
        by_b.pending_requests = 1
        self.assertEqual(registry.surplus_calls(9.0), ())
        by_b.pending_requests, by_b.serving = 0, 1
        self.assertEqual(registry.surplus_calls(9.0), ())
        by_b.serving, by_b.used_s = 0, 8.5
        self.assertEqual(registry.surplus_calls(9.0), ())
        self.assertEqual(registry.surplus_calls(9.6), (by_b,))

    def test_the_link_of_a_restarted_peer_is_preferred(self):
        """The old link may be silent, whichever side dialled it."""
        old = link("a", dialled=False, boot_ms=1)
        new = link("a", dialled=True, boot_ms=2)
        registry = self.registry("b", old, new)
        self.assertIs(registry.find("a", for_calls=True), new)

    def test_a_closed_link_is_not_chosen(self):
        """The other link is used instead."""
        by_a, by_b = link("b", dialled=True), link("b", dialled=False)
        registry = self.registry("a", by_a, by_b)
        by_a.closed.set()
        self.assertIs(registry.find("b", for_calls=True), by_b)
        self.assertIsNone(registry.find("b", for_calls=False))
