"""Test of a crowd at the peer listener that never says who it is.

It guards against a process that ends because such clients fill its memory
before they have sent their first message.
"""

import asyncio
import unittest

from soak import node_process
from tests.clients import besieged_node

MEMORY_MB = 110
CONNECTIONS = 120
LONG_LINES = b"GET / HTTP/1.1\r\n" + (b"a: " + b"x" * 8_000 + b"\r\n") * 120


class TestPeerCrowds(unittest.TestCase):
    def test_heads_of_long_lines_that_do_not_end(self):
        """Each of 128 lines may be of 8 kB."""

        async def main():
            async with besieged_node.BesiegedNode(memory_mb=MEMORY_MB) as node:
                sockets = await node.connect(
                    CONNECTIONS, port=node_process.PEER_PORT
                )
                await node.send(sockets, LONG_LINES)
                await node.settle()
                await node.check(self)

        asyncio.run(main())


if __name__ == "__main__":
    unittest.main()
