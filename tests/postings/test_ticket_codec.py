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
        """Parsing returns the node, incarnation and expiry of a ticket."""
        codec = _codec()
        parsed_ticket = codec.parse(codec.issue("valparaiso-a.7", 12))
        now_ms = manual_clock.ManualClock().wall_ms()
        self.assertEqual(parsed_ticket.node_id, "valparaiso-a.7")
        self.assertEqual(parsed_ticket.incarnation, 12)
        self.assertEqual(parsed_ticket.expires_ms, now_ms + 600_000)

    def test_plain_key(self):
        """A key without the prefix is a plain key."""
        self.assertIsNone(_codec().parse("order-77"))

    def test_forged(self):
        """Changing any character makes the ticket malformed."""
        codec = _codec()
        key = codec.issue("n1", 12)
        for position in range(len(ticket_codec.PREFIX), len(key)):
            other = "0" if key[position] != "0" else "1"
            forged = key[:position] + other + key[position + 1 :]
            with self.assertRaises(exceptions.TicketMalformedError):
                codec.parse(forged)

    def test_malformed(self):
        """A key with the ticket prefix that is not a ticket is rejected."""
        codec = _codec()
        other = _codec("another secret").issue("n1", 12)
        valid = codec.issue("n1", 12)
        for key in (
            "gt1.",
            "gt1.n1",
            "gt1.n1.12.5.ab.cd",
            "gt1.n1.12.5.ab.\u00e9",
            valid[:-1],
            valid + "0",
            valid + ".",
            other,
        ):
            with self.assertRaises(exceptions.TicketMalformedError, msg=key):
                codec.parse(key)

    def test_signed_malformed_fields(self):
        """A correctly signed key with malformed fields is rejected."""
        codec = _codec()
        for signed in ("gt1.n1.1.2", "gt1.n1.x.2.ab", "gt1..1.2.ab"):
            key = f"{signed}.{codec._mac(signed)}"
            with self.assertRaises(exceptions.TicketMalformedError, msg=key):
                codec.parse(key)


class TestPlacement(unittest.TestCase):
    def test_only_keys_of_the_lost_node_move(self):
        """Losing a node moves only its keys; keys are spread evenly."""
        nodes = [f"n{number}" for number in range(4)]
        keys = [f"key-{number}" for number in range(400)]
        before = {key: placement.place(key, nodes) for key in keys}
        after = {key: placement.place(key, nodes[1:]) for key in keys}
        moved = {key for key in keys if before[key] != after[key]}
        self.assertEqual(moved, {k for k in keys if before[k] == "n0"})
        counts = collections.Counter(before.values())
        self.assertGreater(min(counts.values()), 70)

    def test_order_does_not_matter(self):
        """The placement does not depend on the order of the members."""
        self.assertEqual(
            placement.place("k", ["a", "b", "c"]),
            placement.place("k", ["c", "a", "b"]),
        )

    def test_no_node(self):
        """Placement without nodes raises an error."""
        with self.assertRaises(exceptions.NoTargetError):
            placement.place("k", [])
