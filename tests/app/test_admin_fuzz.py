"""Fuzz tests of the admin API over a table in memory."""

import json
import random
import types
import unittest
import unittest.mock

import hypothesis
from hypothesis import strategies

from galenatack.app import admin_operations
from galenatack.app import admin_routes
from galenatack.config import acceptor
from galenatack.config import entry_codec
from galenatack.config import profile_codec
from galenatack.config import row_keys
from galenatack.links import admin_api
from galenatack.links import fault_injector
from galenatack.moves import move_service
from galenatack.settings import trust_settings
from tests.fakes import event_list
from tests.fakes import memory_objects
from tests.fakes import memory_table
from tests.fakes import sample_profile
from tests.fakes import virtual_clock
from tests.fakes import virtual_run
from tests.links import loopback

TRUST = trust_settings.TrustSettings(mode="none", ticket_key="k")
SETTINGS = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=120
)
FIELDS = ("profile", "version", "service", "to", "by_ms", "expect", "cut")
NAMES = ("prices", "prices-normal", "v1", "v2", "a/b", "\0", "é", ".")

_json = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.just(10**30)
    | strategies.floats()
    | strategies.text(max_size=5)
    | strategies.sampled_from(NAMES),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=3), inner)
    ),
    max_leaves=6,
)
_objects = strategies.dictionaries(strategies.sampled_from(FIELDS), _json)
_moves = strategies.fixed_dictionaries(
    {
        "service": strategies.just("prices"),
        "to": strategies.sampled_from(["v1", "v2", "v3"]),
        "by_ms": strategies.integers() | strategies.integers(10**5, 10**20),
    }
)
_bodies = strategies.one_of(
    strategies.binary(max_size=20),
    _objects.map(json.dumps).map(str.encode),
    _moves.map(json.dumps).map(str.encode),
)
_paths = strategies.sampled_from(
    ["profiles", "services/prices", "moves", "moves/prices", "faults", "events"]
    + [f"services/{name.replace('/', '%2F')}" for name in NAMES]
).map(lambda rest: f"/admin/v1/{rest}")
_queries = strategies.binary(max_size=12) | strategies.text(
    "0123456789-٣²", max_size=8
).map(lambda number: b"after=" + number.encode())


class _Deployment:
    """The admin API of one node, with a profile and a choice."""

    def __init__(self):
        self.table = memory_table.MemoryTable()
        clock = virtual_clock.VirtualClock()
        events = event_list.EventList()
        self.writer = acceptor.Acceptor(
            table=self.table,
            objects=memory_objects.MemoryObjects(),
            clock=clock,
            rng=random.Random(1),
            events=events,
        )
        parts = types.SimpleNamespace(
            settings=types.SimpleNamespace(
                trust=TRUST, node_id="n1", fault_injection=True
            ),
            peer_tls=loopback.NO_TLS,
            acceptor=self.writer,
            moves=move_service.MoveService(
                writer=self.writer, clock=clock, rng=random.Random(2)
            ),
            faults=fault_injector.FaultInjector(enabled=True),
            events=unittest.mock.Mock(events=lambda: ()),
            state=types.SimpleNamespace(running=dict),
        )
        operations = admin_operations.AdminOperations(
            parts=parts, is_ready=lambda: True
        )
        self.api = admin_api.AdminApi(
            routes=admin_routes.routes(operations), trust=TRUST
        )

    async def ask(self, method, path, query, body):
        """Returns the status of one request."""
        sent = []

        async def receive():
            return {"type": "http.request", "body": body}

        async def send(message):
            sent.append(message)

        scope = {"type": "http", "method": method, "path": path}
        scope |= {"headers": [], "query_string": query}
        await self.api(scope, receive, send)
        json.loads(sent[1]["body"])
        return sent[0]["status"]

    async def rows(self):
        """Returns all rows of the table by key."""
        rows = await self.table.scan("", after="", limit=1000)
        return {row.key: row.value for row in rows}


class TestAdminFuzz(unittest.TestCase):
    @SETTINGS
    @hypothesis.given(
        strategies.sampled_from(["GET", "POST", "DELETE"]),
        _paths,
        _queries,
        _bodies,
    )
    def test_any_request(self, method, path, query, body):
        """A request gets a typed answer and is applied atomically."""

        async def main():
            deployment = _Deployment()
            await deployment.writer.publish(sample_profile.body())
            await deployment.writer.choose(
                "prices", profile="prices-normal", version="v1"
            )
            before = await deployment.rows()
            status = await deployment.ask(method, path, query, body)
            after = await deployment.rows()
            entries = await deployment.writer.list_entries("")
            return status, before, after, entries

        status, before, after, entries = virtual_run.run(main, seed=1)
        self.assertNotEqual(status, 500)
        if status != 200 or method == "GET":
            self.assertEqual(before, after)
        logged = [key for key in after if key.startswith("log/")]
        operations = [key for key in after if key.startswith("op/")]
        self.assertEqual(len(logged), len(operations))
        for entry in entries:
            _parse(entry)


def _parse(entry):
    if entry.key.startswith(row_keys.PROFILE):
        return profile_codec.parse(entry.body)
    if entry.key.startswith(row_keys.SERVICE):
        return entry_codec.parse_choice(entry.body)
    return entry_codec.parse_move(entry.body)
