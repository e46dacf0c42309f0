"""Test of the order in which the bytes of a connection are parsed."""

import asyncio
import unittest
from unittest import mock

from galenatack.clients import client_account
from galenatack.clients import client_bounds
from galenatack.clients import connection_slots
from galenatack.links import connection_limits
from galenatack.links import connection_stats
from galenatack.links import http_response
from galenatack.links import large_bodies
from galenatack.links import pipelined_connection
from galenatack.links import request_turns

READ_BYTES = 8192
HEAD = b"POST /p HTTP/1.1\r\nhost: a\r\ncontent-length: 16000\r\n\r\n"


class Crowd:
    """Another holder, which takes more than half of the bound."""

    is_ending = True
    waiting_bytes = 0

    def shed(self):
        """Frees nothing."""


class TestOrderOfBytes(unittest.TestCase):
    def setUp(self):
        self.account = client_account.ClientAccount(
            bounds=client_bounds.derive(memory_mb=0, max_fds=0),
            now_s=lambda: 0.0,
        )
        self.bodies = {}

    def connect(self, release):
        async def respond(request):
            self.bodies[request.target] = request.body
            if request.target == "/slow":
                await release.wait()
            return http_response.HttpResponse(200)

        connection = pipelined_connection.PipelinedConnection(
            respond=respond,
            time_limit=lambda request: None,
            limits=connection_limits.ConnectionLimits(),
            connections=set(),
            read_buffer=bytearray(READ_BYTES),
            large_bodies=large_bodies.LargeBodies(max_bytes=10**8),
            stats=connection_stats.ConnectionStats(),
            account=self.account,
            slots=connection_slots.ConnectionSlots(
                account=self.account, max_connections=100
            ),
            turns=request_turns.RequestTurns(),
        )
        transport = mock.Mock()
        transport.is_closing.return_value = False
        transport.get_write_buffer_size.return_value = 0
        connection.connection_made(transport)
        return connection

    def test_bytes_that_were_kept_go_before_those_that_come_later(self):
        """Memory is short for one read and not for the next one.

        The tail of a body was parsed before its head: as another request.
        """

        async def main():
            release = asyncio.Event()
            connection = self.connect(release)

            def receive(data):
                buffer = connection.get_buffer(0)
                buffer[: len(data)] = data
                connection.buffer_updated(len(data))

            receive(b"GET /slow HTTP/1.1\r\nhost: a\r\n\r\n")
            await asyncio.sleep(0)
            crowd = Crowd()
            bound_bytes = self.account.bounds.held_bytes
            self.account.update(crowd, int(bound_bytes * 0.6))
            first = HEAD + b"A" * (READ_BYTES - len(HEAD))
            receive(first)
            self.account.update(crowd, 0)
            rest_bytes = 16_000 - (READ_BYTES - len(HEAD))
            for _ in range(rest_bytes // 1000):
                receive(b"B" * 1000)
            receive(b"B" * (rest_bytes % 1000))
            release.set()
            await asyncio.sleep(0.01)

        asyncio.run(main())
        body = self.bodies.get("/p", b"")
        self.assertEqual(len(body), 16_000)
        self.assertEqual(body.rstrip(b"B").strip(b"A"), b"")
