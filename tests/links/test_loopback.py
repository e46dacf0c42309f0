"""Tests of the target link and the caller application over loopback."""

import functools
import json
import unittest

import anyio
import httpcore

from bench import one_node
from galenatack import exceptions
from galenatack.links import http_server
from galenatack.links import target_link
from galenatack.model import call_request
from standins.callers import caller
from standins.callers import options as caller_options
from standins.target import app as target_app
from standins.target import options as target_options
from tests.links import open_port


def _request(**changes) -> call_request.CallRequest:
    base = call_request.CallRequest(
        call_id="c1",
        service="prices",
        route="read",
        method="GET",
        path="/x?a=1",
        headers=(("accept", "*/*"),),
        body=b"",
        deadline_ms=1000,
        posting=False,
    )
    return base._replace(**changes)


def run_with_target(scenario, **options):
    """Runs `scenario(port, app)` with a stand-in target on loopback."""

    async def main():
        app = target_app.TargetApp(
            target_options.TargetOptions(
                "prices", "v1", spread=0.0, cold_calls=0, **options
            )
        )
        port = open_port.open_port()
        shutdown = anyio.Event()
        async with anyio.create_task_group() as tasks:

            async def serve():
                await http_server.serve(
                    app, address=f"127.0.0.1:{port}", shutdown=shutdown
                )

            tasks.start_soon(serve)
            await open_port.wait_for(port)
            await scenario(port, app)
            shutdown.set()

    anyio.run(main)


class TestTargetLink(unittest.TestCase):
    def _run(self, scenario, **options):
        async def with_link(port, app):
            link = target_link.HttpTargetLink(
                base_url=f"http://127.0.0.1:{port}"
            )
            await scenario(link, app)
            await link.close()

        run_with_target(with_link, **options)

    def test_crossed_answers_on_reused_connections(self):
        """Concurrent calls get their own answers; connections are reused."""

        async def scenario(link, app):
            async def one(number):
                answer = await link.call(
                    _request(call_id=f"c{number}", path=f"/x/{number}")
                )
                body = json.loads(answer.body)
                self.assertEqual(body["path"], f"/x/{number}")

            for _ in range(3):
                async with anyio.create_task_group() as tasks:
                    for number in range(12):
                        tasks.start_soon(one, number)
            self.assertEqual(app.worker.ledger.started, 36)

        self._run(scenario, service_ms=2.0, slots=4)

    def test_late_answer_does_not_reach_the_next_call(self):
        """A cancelled call closes its connection."""

        async def scenario(link, app):
            for number in range(5):
                with anyio.move_on_after(0.02):
                    await link.call(_request(path=f"/late/{number}"))
                answer = await link.call(_request(path=f"/next/{number}"))
                body = json.loads(answer.body)
                self.assertEqual(body["path"], f"/next/{number}")

        self._run(scenario, service_ms=40.0, slots=12)

    def test_posting_passes_key_and_body(self):
        """The target sees the key and the body of a posting."""

        async def scenario(link, app):
            answer = await link.call(
                _request(
                    method="POST",
                    posting=True,
                    body=b"offer",
                    headers=(("idempotency-key", "k1"),),
                )
            )
            body = json.loads(answer.body)
            self.assertEqual(body["key"], "k1")
            self.assertEqual(body["token"], target_app.body_token(b"offer"))
            self.assertEqual(app.worker.ledger.as_json()["keys"], {"k1": 1})

        self._run(scenario, service_ms=1.0)

    def test_cancel_before_and_after_the_start(self):
        """A waiting call never starts after a cancel; a running one goes on."""

        async def scenario(link, app):
            shed = []

            async def waiting():
                try:
                    await link.call(_request(call_id="second"))
                except exceptions.TargetShedError as error:
                    shed.append(error)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(link.call, _request(call_id="first"))
                await anyio.sleep(0.05)
                tasks.start_soon(waiting)
                await anyio.sleep(0.05)
                self.assertFalse(await link.cancel("first"))
                self.assertTrue(await link.cancel("second"))
            self.assertEqual(len(shed), 1)
            self.assertEqual(app.worker.ledger.started, 1)

        self._run(scenario, service_ms=200.0, slots=1)

    def test_refused_connection_did_not_start(self):
        """A closed port raises `TargetConnectError`."""

        async def main():
            link = target_link.HttpTargetLink(
                base_url=f"http://127.0.0.1:{open_port.open_port()}"
            )
            with self.assertRaises(exceptions.TargetConnectError):
                await link.call(_request())
            self.assertFalse(await link.cancel("c1"))

        anyio.run(main)

    def test_connection_closed_after_the_request_is_lost(self):
        """A close after the request raises `TargetAnswerLostError`."""

        async def main():
            async def hang_up(stream):
                async with stream:
                    await stream.receive()

            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, hang_up)
                link = target_link.HttpTargetLink(
                    base_url=f"http://127.0.0.1:{port}"
                )
                with self.assertRaises(exceptions.TargetAnswerLostError):
                    await link.call(_request())
                tasks.cancel_scope.cancel()

        anyio.run(main)


class TestCallerApp(unittest.TestCase):
    def _run(self, scenario, **options):
        async def with_node(target_port, app):
            port = open_port.open_port()
            shutdown = anyio.Event()
            caller_side = one_node.compose(f"http://127.0.0.1:{target_port}")
            async with anyio.create_task_group() as tasks:

                async def serve():
                    await http_server.serve(
                        caller_side,
                        address=f"127.0.0.1:{port}",
                        shutdown=shutdown,
                    )
                    stopped.set()

                stopped = anyio.Event()
                tasks.start_soon(serve)
                await open_port.wait_for(port)
                await scenario(f"http://127.0.0.1:{port}", app, shutdown)
                shutdown.set()

        run_with_target(with_node, **options)

    def test_outcome_headers(self):
        """Answers carry the outcome and a length; refusals `Retry-After`."""

        async def scenario(url, app, shutdown):
            async with httpcore.AsyncConnectionPool() as pool:
                good = await pool.request("GET", f"{url}/prices/x")
                bad = await pool.request("POST", f"{url}/prices/offers")
                headers = dict(good.headers)
                self.assertEqual(headers[b"galenatack-outcome"], b"answer")
                self.assertIn(b"content-length", headers)
                self.assertEqual(bad.status, 400)
                self.assertEqual(
                    dict(bad.headers)[b"galenatack-outcome"], b"not-run"
                )
                large = await pool.request(
                    "POST", f"{url}/prices/offers", content=b"x" * 5_000_000
                )
                self.assertEqual(large.status, 413)

        self._run(scenario, service_ms=1.0)

    def test_stand_in_callers(self):
        """The stand-in callers get a correct answer to each of their calls."""

        async def scenario(url, app, shutdown):
            callers = caller.Callers(
                caller_options.CallerOptions(
                    nodes=(url.removeprefix("http://"),),
                    service="prices",
                    rate=200,
                    duration_s=0.2,
                    posting_share=0.5,
                    ticket_share=0.0,
                )
            )
            await callers.run()
            summary = callers.record.as_json()
            self.assertEqual(summary["statuses"], {200: 40})
            self.assertEqual(summary["wrong"], 0)
            keys = app.worker.ledger.as_json()["keys"]
            self.assertEqual(set(keys), callers.record.answered_keys)
            self.assertEqual(set(keys.values()), {1})

        self._run(scenario, service_ms=2.0)

    def test_http2(self):
        """The same listener serves HTTP/2 with prior knowledge."""

        async def scenario(url, app, shutdown):
            async with httpcore.AsyncConnectionPool(
                http1=False, http2=True
            ) as pool:
                answer = await pool.request("GET", f"{url}/prices/x")
                self.assertEqual(answer.status, 200)
                self.assertEqual(json.loads(answer.content)["path"], "/x")

        self._run(scenario, service_ms=1.0)

    def test_disconnect_cancels_the_call(self):
        """The waiting calls of a caller that disconnects are cancelled."""
        for is_http2 in (False, True):
            self._run(
                functools.partial(self._disconnect, is_http2),
                service_ms=150.0,
                slots=1,
            )

    async def _disconnect(self, is_http2, url, app, shutdown):
        async with httpcore.AsyncConnectionPool(
            http1=not is_http2, http2=is_http2
        ) as pool:
            with anyio.move_on_after(0.1):
                async with anyio.create_task_group() as tasks:
                    for _ in range(3):
                        tasks.start_soon(pool.request, "GET", f"{url}/prices/x")
        await anyio.sleep(0.2)
        ledger = app.worker.ledger
        self.assertEqual((ledger.started, ledger.cancelled), (1, 2))

    def test_shutdown_completes_calls(self):
        """Calls in flight at the shutdown get complete answers, and it ends."""
        for is_http2 in (False, True):
            self._run(
                functools.partial(self._shut_down, is_http2),
                service_ms=150.0,
            )

    async def _shut_down(self, is_http2, url, app, shutdown):
        answers = []

        async def one(pool):
            answers.append(await pool.request("GET", f"{url}/prices/x"))

        async with (
            httpcore.AsyncConnectionPool(
                http1=not is_http2, http2=is_http2
            ) as pool,
            anyio.create_task_group() as tasks,
        ):
            for _ in range(8):
                tasks.start_soon(one, pool)
            # With a fixed delay, calls arrived after the shutdown on a busy
            # machine.
            while app.worker.in_flight < 8:
                await anyio.sleep(0.005)
            shutdown.set()
        self.assertEqual([a.status for a in answers], [200] * 8)
