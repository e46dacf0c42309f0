"""Tests of translating callers' requests."""

import asyncio
import unittest

from galenatack import exceptions
from galenatack.links import http_request
from galenatack.platform import _headers
from galenatack.platform import caller_dialect
from galenatack.routing import local_replies


class TestCallerDialect(unittest.TestCase):
    def test_a_node_without_a_route_holds_no_request_past_its_deadline(self):
        """It may have just started, with no configuration yet."""

        def limit_s(timeout_ms, *headers):
            dialect = caller_dialect.CallerDialect(
                handle=None,
                timeout_ms=lambda host, path, deadline_ms: timeout_ms,
            )
            return dialect.time_limit_s(
                http_request.HttpRequest("PUT", "/", headers, b"")
            )

        deadline = ("x-deadline-ms", "1000")
        self.assertEqual(limit_s(None, ("host", "a"), deadline), 1.0)
        self.assertEqual(limit_s(None, deadline), 1.0)
        self.assertEqual(limit_s(600, ("host", "a"), deadline), 0.6)
        self.assertIsNone(limit_s(None, ("host", "a")))

    def test_all_connection_lines_name_headers_that_are_not_forwarded(self):
        """They are taken together: a head may have a thousand of them."""
        kept = _headers.forwarded_request_headers(
            (
                ("connection", "A, close"),
                ("connection", "b"),
                ("a", "1"),
                ("b", "2"),
                ("c", "3"),
            )
        )
        self.assertEqual(kept, (("c", "3"),))

    def test_a_host_with_its_root_label_is_not_an_unknown_host(self):
        """The name with and without the last dot is the same host."""
        hosts = []

        async def handle(request):
            hosts.append(request.host)
            return local_replies.not_run(exceptions.NoRouteError("none"))

        dialect = caller_dialect.CallerDialect(
            handle=handle, timeout_ms=lambda host, path, deadline_ms: None
        )
        for name in ("b.example.", "B.example.:8629", "b.example:80"):
            request = http_request.HttpRequest(
                "GET", "/", (("host", name),), b""
            )
            asyncio.run(dialect.respond(request))
        self.assertEqual(hosts, ["b.example"] * 3)

    def test_only_a_deployment_with_tenants_takes_their_headers_out(self):
        """A key must go no further; elsewhere the headers mean nothing."""
        requests = []

        async def handle(request):
            requests.append(request)
            return local_replies.not_run(exceptions.NoRouteError("none"))

        headers = (
            ("host", "b"),
            ("x-credential", "k1"),
            ("x-tenant", "forged"),
            ("x-other", "1"),
        )
        for has_tenants in (True, False):
            dialect = caller_dialect.CallerDialect(
                handle=handle,
                timeout_ms=lambda host, path, deadline_ms: None,
                has_tenants=lambda has_tenants=has_tenants: has_tenants,
            )
            asyncio.run(
                dialect.respond(
                    http_request.HttpRequest("GET", "/", headers, b"")
                )
            )
        with_tenants, without = requests
        self.assertEqual(with_tenants.credential, "k1")
        self.assertEqual(
            with_tenants.headers, (("host", "b"), ("x-other", "1"))
        )
        self.assertEqual(without.credential, "")
        self.assertEqual(without.headers, headers)

    def test_a_key_beyond_ascii_is_read_as_utf8(self):
        """Values are decoded as Latin-1, so that it would never match."""
        for wire, key in (
            ("k\u00e9\u20ac".encode(), "k\u00e9\u20ac"),
            (b"k\xe9", "k\udce9"),
        ):
            headers = (("x-credential", wire.decode("latin-1")),)
            self.assertEqual(_headers.credential(headers), key)
