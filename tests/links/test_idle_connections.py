"""Tests with a target that silently drops idle connections."""

import asyncio
import itertools
import unittest
import unittest.mock

from galenatack import steady_clock
from galenatack.links import translated_target
from galenatack.model import call_request
from galenatack.platform import target_headers

IDLE_RESET_S = 0.32
"""Idle time after which the target resets a connection on its next call."""


class IdleResettingTarget:
    """Answers calls, and resets those on connections that were idle.

    Attributes:
        resets: Number of calls that were reset.
        connections: Number of accepted connections.
    """

    def __init__(self):
        self.resets = 0
        self.connections = 0
        self.port = 0
        self._server = None

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *exc):
        self._server.close()

    async def _serve(self, reader, writer):
        loop = asyncio.get_running_loop()
        self.connections += 1
        used_s = loop.time()
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                if loop.time() - used_s > IDLE_RESET_S:
                    self.resets += 1
                    return
                attempt = next(
                    line for line in head.split(b"\r\n") if b"ttempt" in line
                )
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
                    b"X-Upstream-Stamp: s\r\n%b\r\n\r\n" % attempt
                )
                used_s = loop.time()
        except asyncio.IncompleteReadError:
            pass
        finally:
            writer.transport.abort()


def call(*, posting):
    """Returns a call without a body."""
    return call_request.CallRequest(
        call_id="c",
        request_id="r",
        service="s",
        route="route",
        method="PUT" if posting else "GET",
        path="/",
        headers=(("x-attempt-id", "r"),),
        body=b"",
        deadline_ms=1000,
        posting=posting,
    )


class TestIdleConnections(unittest.TestCase):
    def send_two_calls(self, pause_s, *, posting):
        """Sends two calls with a pause and returns the target."""

        async def main():
            async with IdleResettingTarget() as target:
                link = translated_target.TranslatedTarget(
                    address=f"127.0.0.1:{target.port}",
                    dialect=target_headers.TargetHeaders(),
                    max_connections=4,
                    on_condition=lambda *_: None,
                )
                for _ in range(2):
                    answer = await link.call(call(posting=posting))
                    self.assertEqual(answer.status, 200)
                    await asyncio.sleep(pause_s)
                await link.close()
                # Lets the target notice that its connections were closed.
                await asyncio.sleep(0.05)
                return target

        return asyncio.run(main())

    def test_a_posting_does_not_reuse_an_idle_connection(self):
        """After a reset it would be unknown whether the posting ran."""
        target = self.send_two_calls(0.6, posting=True)
        self.assertEqual(target.resets, 0)
        self.assertEqual(target.connections, 2)

    def test_a_suspension_counts_as_idle_time(self):
        """Meanwhile, the target may have dropped the connection."""
        times_s = itertools.count(step=5.0)
        with unittest.mock.patch.object(
            steady_clock, "now_s", lambda: next(times_s)
        ):
            target = self.send_two_calls(0.0, posting=True)
        self.assertEqual(target.connections, 2)

    def test_a_connection_in_use_is_reused(self):
        """A new connection for each call would occupy a slot of the target."""
        target = self.send_two_calls(0.05, posting=True)
        self.assertEqual(target.connections, 1)
