"""Test of a crowd that keeps all connections of callers busy.

It guards against a node at which nobody else gets a connection.
"""

import asyncio
import contextlib
import socket
import unittest

from soak import node_process
from tests.clients import besieged_node

MAX_FDS = 300
CONNECTIONS = 80
"""Twice the connections that the node takes from callers."""

PIPELINED = 200
WORK_S = 0.3
REQUEST = (
    b"GET /idempotent/x HTTP/1.1\r\nhost: a.example\r\nx-attempt-id: u\r\n\r\n"
)


async def press(node):
    """Sends requests on one connection after another, without an end."""
    loop = asyncio.get_running_loop()
    address = (node.process.host, node_process.CALLER_PORT)
    while True:
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.setblocking(False)
            await loop.sock_connect(sock, address)
            while True:
                await loop.sock_sendall(sock, REQUEST * PIPELINED)
        await asyncio.sleep(0.01)


class TestFullListener(unittest.TestCase):
    def test_an_ordinary_request_beside_connections_that_all_run_some(self):
        """Only connections that run no request made room for others."""

        async def main():
            async with besieged_node.BesiegedNode(max_fds=MAX_FDS) as node:
                node.target.work_s = WORK_S
                tasks = [
                    asyncio.create_task(press(node)) for _ in range(CONNECTIONS)
                ]
                await node.settle()
                await node.check(self)
                for task in tasks:
                    task.cancel()
                await asyncio.wait(tasks)

        asyncio.run(main())


if __name__ == "__main__":
    unittest.main()
