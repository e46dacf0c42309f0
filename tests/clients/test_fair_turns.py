"""Tests that a crowd leaves others their turns of the event loop."""

import asyncio
import contextlib
import socket
import unittest
from unittest import mock

import uvloop

from galenatack.links import http_response
from galenatack.links import pipelined_server

CROWD = 64
TURNS = CROWD // 2


async def respond(request):
    """Answers a request."""
    return http_response.HttpResponse(200)


def make_server(**options):
    """Returns a server on a free port."""
    with socket.create_server(("127.0.0.1", 0)) as free:
        host, port = free.getsockname()
    return pipelined_server.PipelinedServer(
        address=f"{host}:{port}", respond=respond, **options
    ), (host, port)


class TestFairTurns(unittest.TestCase):
    def test_a_connection_gives_way_after_each_full_read(self):
        """One that sends much would be read 32 times in a turn."""

        async def main():
            server, _ = make_server()
            connection = server._make_connection()
            transport = mock.Mock()
            transport.is_closing.return_value = False
            transport.get_write_buffer_size.return_value = 0
            connection.connection_made(transport)
            size = len(connection.get_buffer(-1))
            connection.get_buffer(-1)[:] = (
                b"POST / HTTP/1.1\r\ncontent-length: 90000\r\n\r\n"
            ).ljust(size, b"x")
            connection.buffer_updated(size)
            self.assertEqual(transport.pause_reading.call_count, 1)
            self.assertEqual(transport.resume_reading.call_count, 0)
            await asyncio.sleep(0)
            self.assertEqual(transport.resume_reading.call_count, 1)
            connection.buffer_updated(100)
            self.assertEqual(transport.pause_reading.call_count, 1)

        asyncio.run(main())

    def test_a_crowd_in_the_backlog_is_accepted_in_a_few_turns(self):
        """Otherwise an ordinary caller waits one turn for each of them."""

        async def main():
            server, address = make_server(
                accept_handles=pipelined_server.ACCEPT_HANDLES
            )
            await server.listen()
            with contextlib.ExitStack() as stack:
                # The loop does not run meanwhile: all wait in the backlog.
                for _ in range(CROWD):
                    stack.enter_context(socket.create_connection(address))
                turns = 0
                while server.connections < CROWD and turns < 10 * CROWD:
                    await asyncio.sleep(0)
                    turns += 1
            server.close()
            await asyncio.sleep(0)
            return turns

        self.assertLess(uvloop.run(main()), TURNS)

    def test_no_handle_accepts_after_the_end(self):
        """A node that stops must take no connection."""

        async def main():
            server, address = make_server(accept_handles=4)
            await server.listen()
            server.close()
            await asyncio.sleep(0.05)
            with self.assertRaises(ConnectionRefusedError):
                await asyncio.open_connection(*address)

        uvloop.run(main())


if __name__ == "__main__":
    unittest.main()
