"""Tests of the connection pool."""

import asyncio
import unittest

from galenatack import exceptions
from galenatack.links import connection_pool
from galenatack.links import http_response
from galenatack.links import pipelined_server
from tests.links import open_port


class TestConnectionPool(unittest.TestCase):
    def test_a_port_out_of_range_is_a_failed_connection(self):
        """The address may come from another writer."""
        pool = connection_pool.ConnectionPool(
            host="127.0.0.1",
            port=99_999,
            max_connections=1,
            connect_timeout_s=1.0,
            max_answer_bytes=1,
        )
        with self.assertRaises(exceptions.TargetConnectError):
            asyncio.run(pool.acquire())

    def test_connections_that_no_call_reuses_are_closed(self):
        """Each call that finds only older ones would leave one more open."""

        async def main():
            async def respond(request):
                return http_response.HttpResponse(200)

            address = f"127.0.0.1:{open_port.open_port()}"
            server = pipelined_server.PipelinedServer(
                address=address, respond=respond
            )
            await server.listen()
            host, _, port = address.rpartition(":")
            pool = connection_pool.ConnectionPool(
                host=host,
                port=int(port),
                max_connections=8,
                connect_timeout_s=1.0,
                max_answer_bytes=1,
                keep_idle_s=0.05,
            )
            taken = [await pool.acquire() for _ in range(8)]
            for connection in taken:
                pool.release(connection)
            async with asyncio.timeout(10):
                while server.connections:
                    await asyncio.sleep(0.01)
            server.close()

        asyncio.run(main())
