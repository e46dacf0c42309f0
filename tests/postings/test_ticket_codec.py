"""Tests of tickets and of the placement of plain keys."""

import collections
import random
import unittest

from galenatack import exceptions
from galenatack.postings import placement
from galenatack.postings import ticket_codec
from tests.fakes import manual_clock


def _codec(ticket_key: str = "secret") -> ticket_codec.TicketCodec:
    return ticket_codec.TicketCodec(
        ticket_key=ticket_key,
        clock=manual_clock.ManualClock(),
        rng=random.Random(1),
    )


class TestTickets(unittest.TestCase):
    def test_round_trip(self):
        """A ticket names its node, incarnation and expiry."""
        codec = _codec()
        held = codec.parse(codec.issue("valparaiso-a.7", 12))
        now_ms = manual_clock.ManualClock().wall_ms()
        self.assertEqual(held.node_id, "valparaiso-a.7")
        self.assertEqual(held.incarnation, 12)
        self.assertEqual(held.expires_ms, now_ms + 600_000)

    def test_plain_key(self):
        """A key without the prefix is a plain key."""
        self.assertIsNone(_codec().parse("order-77"))

    def test_forged(self):
        """A change of any character makes the ticket malformed."""
        codec = _codec()
        key = codec.issue("n1", 12)
        for position in range(len(ticket_codec.PREFIX), len(key)):
            other = "0" if key[position] != "0" else "1"
            forged = key[:position] + other + key[position + 1 :]
            with self.assertRaises(exceptions.TicketMalformedError):
                codec.parse(forged)

    def test_malformed(self):
        """What only looks like a ticket is neither ticket nor plain key."""
        codec = _codec()
        other = _codec("another secret").issue("n1", 12)
        whole = codec.issue("n1", 12)
        for key in (
            "gt1.",
            "gt1.n1",
            "gt1.n1.12.5.ab.cd",
            "gt1.n1.12.5.ab.\u00e9",
            whole[:-1],
            whole + "0",
            whole + ".",
            other,
        ):
            with self.assertRaises(exceptions.TicketMalformedError, msg=key):
                codec.parse(key)

    def test_signed_but_odd(self):
        """A signature over fields of another form is malformed too."""
        codec = _codec()
        for signed in ("gt1.n1.1.2", "gt1.n1.x.2.ab", "gt1..1.2.ab"):
            key = f"{signed}.{codec._mac(signed)}"
            with self.assertRaises(exceptions.TicketMalformedError, msg=key):
                codec.parse(key)


class TestPlacement(unittest.TestCase):
    def test_only_keys_of_the_lost_node_move(self):
        """Losing a node moves its keys only, and keys are spread evenly."""
        nodes = [f"n{number}" for number in range(4)]
        keys = [f"key-{number}" for number in range(400)]
        before = {key: placement.place(key, nodes) for key in keys}
        after = {key: placement.place(key, nodes[1:]) for key in keys}
        moved = {key for key in keys if before[key] != after[key]}
        self.assertEqual(moved, {k for k in keys if before[k] == "n0"})
        counts = collections.Counter(before.values())
        self.assertGreater(min(counts.values()), 70)

    def test_order_does_not_matter(self):
        """Nodes that list the members differently agree."""
        self.assertEqual(
            placement.place("k", ["a", "b", "c"]),
            placement.place("k", ["c", "a", "b"]),
        )

    def test_no_node(self):
        """Without nodes there is a typed error."""
        with self.assertRaises(exceptions.NoTargetError):
            placement.place("k", [])
