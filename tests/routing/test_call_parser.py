"""Tests of idempotency keys and of the results of refused calls."""

import json
import unittest

from galenatack import exceptions
from galenatack.routing import call_parser
from galenatack.routing import local_replies


class TestKeys(unittest.TestCase):
    def _parsed(self, *keys):
        headers = tuple((call_parser.KEY_HEADER, key) for key in keys)
        return call_parser.parse(path="/prices/today", headers=headers)

    def test_reads_ignore_keys(self):
        """A key that is invalid for postings does not fail a read."""
        self.assertEqual(self._parsed("a key").idempotency_key, "a key")

    def test_repeated_header(self):
        """Two keys on one call are refused, because either could be meant."""
        with self.assertRaises(exceptions.BadCallError):
            self._parsed("a", "b")

    def test_posting_keys(self):
        """Keys of postings are checked as specified for callers."""
        call_parser.check_key("k" * 256)
        for key in ("", "k" * 257, "a key", "é"):
            with self.assertRaises(exceptions.PostingKeyMissingError):
                call_parser.check_key(key)


class TestResults(unittest.TestCase):
    def test_body(self):
        """The body of a refusal is JSON with the code and one sentence."""
        result = local_replies.not_run(exceptions.NoRouteError("no service x"))
        expected = {"error": "no-route", "detail": "no service x"}
        self.assertEqual(json.loads(result.body), expected)

    def test_ticket_gone(self):
        """A caller is not told to retry a ticket that can never run."""
        result = local_replies.unknown(exceptions.TicketGoneError("gone"))
        fields = (result.status, result.failure, result.retry_after_ms)
        self.assertEqual(fields, (502, "ticket-other-incarnation", 0))
