"""Tests of documents that another writer garbled."""

import asyncio
import unittest
from unittest import mock

from galenatack import exceptions
from galenatack.links import http_request
from galenatack.links import target_connection
from galenatack.model import table_row
from galenatack.platform import config_document
from galenatack.platform import control_dialect
from galenatack.platform import rollout_rows
from galenatack.platform import store_table
from galenatack.quarantine import crash_archive

NESTED = b'{"service":' * 3_000 + b"1" + b"}" * 3_000
ODD = (
    NESTED,
    b"[" * 100_000,
    b'{"capacity":1e999}',
    b'{"warmup_left":"' + b"9" * 400 + b's"}',
    b'{"warmup_left":"' + b"9" * 20 + b's"}',
    b'{"capacity":99999999999999999}',
    b'{"state":{}}',
    b'{"routes":{"columns":["name"],"rows":['
    + b"[" * 900
    + b"]" * 900
    + b"]}}",
)


def row(value):
    """Returns a row with this value."""
    return table_row.TableRow("t", "00", value, 1)


class TestOddDocuments(unittest.TestCase):
    def test_announcements_are_refused(self):
        """They change nothing, and the listener goes on."""
        registry = mock.AsyncMock()
        dialect = control_dialect.ControlDialect(
            registry=registry, is_ready=lambda: True
        )
        valid = (
            b'"service":"s","version":"v1","capacity":1,"state":"ready",'
            b'"sequence":1,'
        )
        for body in (*ODD, *(b"{" + valid + odd[1:] for odd in ODD[2:7])):
            request = http_request.HttpRequest(
                "POST", "/v1/instances/i-1/heartbeat", (), body
            )
            answer = asyncio.run(dialect.respond(request))
            self.assertEqual(answer.status, 400, body[:60])
        registry.announce.assert_not_called()

    def test_rows_are_refused(self):
        """Configurations, orders, progress and crashes."""
        archive = crash_archive.CrashArchive(
            ledger=mock.Mock(),
            table=mock.Mock(),
            clock=mock.Mock(wall_ms=lambda: 1),
            rng=mock.Mock(),
        )
        for value in ODD:
            for decode in (
                lambda odd: config_document.decode(odd.value),
                rollout_rows.decode_order,
                rollout_rows.decode_progress,
            ):
                with self.assertRaises(exceptions.DocumentError):
                    decode(row(value))
            self.assertEqual(archive._decode(row(value)), ())

    def test_answers_of_the_store_count_as_none(self):
        """The call may be made again."""
        for body in (NESTED, b'{"ver":1,"rows":["x"]}', b'{"ver":1e999}'):
            raw = target_connection.RawAnswer(200, [], body)
            with self.assertRaises(exceptions.PlatformUnavailableError):
                store_table._page(store_table._document(raw), 0)
