"""Tests of the shutdown of the caller listener."""

import unittest

import anyio

from galenatack.links import caller_app
from galenatack.links import http_server
from galenatack.model import call_result
from tests.links import open_port

REQUEST = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
GRACE_S = 30.0
TIMEOUT_S = 10.0
ANSWER = call_result.CallResult(
    outcome="answer", status=200, headers=(), body=b"whole"
)


class _Handler:
    async def handle(self, **call) -> call_result.CallResult:
        """Answers a call."""
        del call
        return ANSWER


class TestHttpServer(unittest.TestCase):
    def test_idle_connections_during_a_shutdown(self):
        """A reused connection gets one more answer, with `connection: close`.

        The shutdown completes once all connections are closed.
        """

        async def main():
            app = caller_app.CallerApp(handler=_Handler())
            address = f"127.0.0.1:{open_port.open_port()}"
            shutdown = anyio.Event()

            async def serve():
                await http_server.serve(
                    app,
                    address=address,
                    shutdown=shutdown,
                    idle_grace_s=GRACE_S,
                )

            with anyio.fail_after(TIMEOUT_S):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(serve)
                    await self._reuse(address, app, shutdown)

        anyio.run(main)

    def test_a_body_that_never_comes_is_answered_at_the_deadline(self):
        """The handler does not see the request."""
        request = (
            b"POST /prices/x HTTP/1.1\r\nHost: a\r\ncontent-length: 9\r\n"
            b"galenatack-deadline-ms: 200\r\n\r\nx"
        )

        async def main():
            address = f"127.0.0.1:{open_port.open_port()}"
            shutdown = anyio.Event()

            async def serve():
                await http_server.serve(
                    caller_app.CallerApp(handler=_Handler()),
                    address=address,
                    shutdown=shutdown,
                    idle_grace_s=GRACE_S,
                )

            with anyio.fail_after(TIMEOUT_S):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(serve)
                    host, port = address.split(":")
                    await open_port.wait_for(int(port))
                    async with await anyio.connect_tcp(
                        host, int(port)
                    ) as stream:
                        await stream.send(request)
                        answer = await stream.receive()
                    shutdown.set()
            return answer

        self.assertTrue(anyio.run(main).startswith(b"HTTP/1.1 408 "))

    async def _reuse(self, address, app, shutdown):
        host, port = address.split(":")
        await open_port.wait_for(int(port))
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(REQUEST)
            first = await _answer(stream)
            self.assertNotIn(b"connection: close", first)
            app.close_connections()
            shutdown.set()
            await anyio.sleep(0.1)
            await stream.send(REQUEST)
            last = await _answer(stream)
            self.assertIn(b"connection: close", last)
            with self.assertRaises(anyio.EndOfStream):
                await stream.receive()


async def _answer(stream) -> bytes:
    received = b""
    while not received.endswith(ANSWER.body):
        received += await stream.receive()
    return received
