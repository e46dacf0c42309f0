"""Random requests through the caller-facing application."""

import random
import unittest
import unittest.mock

import anyio
import hypothesis
from hypothesis import strategies

from galenatack import exceptions
from galenatack.links import caller_app
from galenatack.links import disconnect_watch
from galenatack.model import outcome
from galenatack.postings import ticket_codec
from galenatack.routing import call_planner
from tests.fakes import virtual_clock
from tests.fakes import virtual_run
from tests.routing import mesh_rig

SETTINGS = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=80
)
OUTCOMES = {item.value.encode() for item in outcome.Outcome}

_bytes = strategies.binary(max_size=12)
_names = strategies.sampled_from(
    [
        b"idempotency-key",
        b"galenatack-deadline-ms",
        b"galenatack-outcome",
        b"content-length",
        b"transfer-encoding",
        b"x-other",
    ]
)
_values = _bytes | strategies.sampled_from(
    [b"1", b"500", b"0", b"-1", b"9999999", b"k" * 256, b"k" * 257]
    + [b"gt1.", b"gt1.n0.1.2.3.4", b"gt1....", b"\xb2", b"1\r\nx: y"]
)
_headers = strategies.lists(strategies.tuples(_names, _values), max_size=4)
_paths = strategies.sampled_from(
    [b"/prices/x", b"/prices/offers", b"/prices", b"/", b"", b"//", b"/nope/x"]
    + [b"/prices/%2e%2e/x", b"/_galenatack/ticket/prices", b"/prices/" * 2000]
) | _bytes.map(lambda rest: b"/prices/" + rest)
_methods = strategies.sampled_from(["GET", "POST", "PUT", "HEAD", "X"])


class TestCallerFuzz(unittest.TestCase):
    def setUp(self):
        """Disables the disconnect watch, which needs asyncio's timers."""
        patch = unittest.mock.patch.object(disconnect_watch, "DisconnectWatch")
        patch.start()
        self.addCleanup(patch.stop)

    @SETTINGS
    @hypothesis.given(_methods, _paths, _bytes, _headers, _bytes)
    def test_any_request(self, method, path, query, headers, body):
        """Each request gets one answer and outcome; refused ones do not run."""

        async def main():
            async with anyio.create_task_group() as tasks:
                rig = mesh_rig.MeshRig(tasks, nodes=2, seed=1)
                sent = await _ask(
                    rig.nodes[0].proxy, method, path, query, headers, body
                )
                tasks.cancel_scope.cancel()
            return sent, len(rig.started())

        sent, started = virtual_run.run(main, seed=1)
        kinds = [message["type"] for message in sent]
        self.assertEqual(kinds, ["http.response.start", "http.response.body"])
        outcomes = [
            value
            for name, value in sent[0]["headers"]
            if name == b"galenatack-outcome"
        ]
        self.assertEqual(len(outcomes), 1)
        self.assertIn(outcomes[0], OUTCOMES)
        if outcomes[0] == b"not-run":
            self.assertEqual(started, 0)
            self.assertGreaterEqual(sent[0]["status"], 400)
        for name, value in sent[0]["headers"]:
            self.assertNotRegex(name + value, rb"[\r\n]")

    @SETTINGS
    @hypothesis.given(_methods, _paths, _headers)
    def test_planner(self, method, path, headers):
        """The planner, with real tickets, plans or raises `CallError`."""

        async def main():
            async with anyio.create_task_group() as tasks:
                rig = mesh_rig.MeshRig(tasks, nodes=1, seed=1)
                tasks.cancel_scope.cancel()
            signer = ticket_codec.TicketCodec(
                ticket_key="k" * 16, clock=rig.clock, rng=random.Random(1)
            )
            planner = call_planner.CallPlanner(
                holder=rig.nodes[0].holder,
                clock=virtual_clock.VirtualClock(),
                bind_ticket=signer.parse,
            )
            try:
                return planner.plan(
                    method=method,
                    path=path.decode("latin-1"),
                    headers=_text(headers),
                    body=b"",
                )
            except exceptions.CallError:
                return None

        plan = virtual_run.run(main, seed=1)
        if plan is not None and plan.request.posting:
            self.assertTrue(plan.request.idempotency_key)


def _text(headers):
    return tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in headers
    )


async def _ask(handler, method, path, query, headers, body):
    sent = []
    messages = [{"type": "http.request", "body": body}]

    async def receive():
        if messages:
            return messages.pop()
        raise AssertionError("receive() called after the end of the body")

    async def send(message):
        sent.append(message)

    app = caller_app.CallerApp(
        handler=handler, issue_ticket=lambda service: "gt1.x"
    )
    scope = {"type": "http", "method": method, "raw_path": path}
    scope |= {"query_string": query, "headers": headers}
    await app(scope, receive, send)
    return sent
