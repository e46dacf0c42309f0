"""Tests of the admin API."""

import json
import re
import unittest

import anyio

from galenatack import exceptions
from galenatack.links import admin_api
from galenatack.links import admin_route
from galenatack.settings import trust_settings


class TestAdminApi(unittest.TestCase):
    def setUp(self):
        trust = trust_settings.TrustSettings(
            mode="none",
            ticket_key="k",
            operator_tokens=("op",),
            viewer_tokens=("view",),
        )
        routes = [
            self._route("GET", "/read/(?P<name>[^/]+)", "viewer", self._echo),
            self._route("POST", "/write", "operator", self._echo),
            self._route("GET", "/lost", "viewer", self._conflict),
            self._route("GET", "/bug", "public", self._bug),
        ]
        self.api = admin_api.AdminApi(routes=routes, trust=trust)

    @staticmethod
    def _route(method, path, role, action):
        return admin_route.AdminRoute(method, re.compile(path), role, action)

    @staticmethod
    async def _echo(query, body, **groups):
        return {"query": query, "body": body, "groups": groups}

    @staticmethod
    async def _conflict(query, body):
        raise exceptions.VersionConflictError("lost", winning_version=4)

    @staticmethod
    async def _bug(query, body):
        raise RuntimeError("bug")

    def _ask(self, method, path, *, token="", body=b""):
        sent = []

        async def receive():
            return {"type": "http.request", "body": body}

        async def send(message):
            sent.append(message)

        scope = {
            "type": "http",
            "method": method,
            "path": path,
            "query_string": b"a=1",
            "headers": [(b"authorization", f"Bearer {token}".encode())],
        }
        anyio.run(self.api, scope, receive, send)
        return sent[0]["status"], json.loads(sent[1]["body"])

    def test_viewer_reads(self):
        """A viewer may read, and path groups are unquoted."""
        status, body = self._ask("GET", "/read/a%20b", token="view")
        self.assertEqual(status, 200)
        self.assertEqual(body["groups"], {"name": "a b"})

    def test_viewer_may_not_write(self):
        """A viewer token is refused for a change."""
        status, body = self._ask("POST", "/write", token="view")
        self.assertEqual((status, body["error"]), (403, "not-permitted"))

    def test_unknown_token(self):
        """A request with an unknown token is refused."""
        status, _ = self._ask("GET", "/read/a", token="other")
        self.assertEqual(status, 401)

    def test_conflict_names_the_winner(self):
        """A version conflict is a 409 with the winning version."""
        status, body = self._ask("GET", "/lost", token="view")
        self.assertEqual((status, body["winning_version"]), (409, 4))

    def test_bad_json(self):
        """A body that is not JSON is a 400 and not a crash."""
        status, body = self._ask("POST", "/write", token="op", body=b"[" * 9999)
        self.assertEqual((status, body["error"]), (400, "bad-request"))

    def test_bug_is_a_500(self):
        """A bug in one request is a 500 and does not stop the listener."""
        with self.assertLogs("galenatack.links.admin_api"):
            status, body = self._ask("GET", "/bug")
        self.assertEqual((status, body["error"]), (500, "internal"))
