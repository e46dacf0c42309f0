"""Tests of crowds that pipeline many small requests, leave and come back.

They guard against a node that goes on with the requests of clients that have
left: it takes more memory than its machine has and answers nobody for minutes.
"""

import asyncio
import unittest

from tests.clients import besieged_node

MEMORY_MB = 110
CONNECTIONS = 60
PIPELINED = 100
ROUNDS = 10
READ_AHEAD_BYTES = 200_000
WORK_S = 0.3
KEPT_SOCKETS = 16
"""Sockets that a node may have opened for itself meanwhile."""


def small_request(kind):
    """Returns a request as short as an ordinary one."""
    return (
        b"POST /%s/x HTTP/1.1\r\nhost: a.example\r\nx-attempt-id: u\r\n"
        b"content-length: 2\r\n\r\nab" % kind
    )


async def send_and_leave(node, data):
    """Sends the same bytes on each connection of each round, and leaves."""
    for _ in range(ROUNDS):
        await node.send(await node.connect(CONNECTIONS), data)
        node.leave()


class TestLeavingCrowds(unittest.TestCase):
    def check_crowd(self, data):
        async def main():
            async with besieged_node.BesiegedNode(memory_mb=MEMORY_MB) as node:
                sockets = node.open_sockets()
                await send_and_leave(node, data)
                await node.check(self)
                self.assertLessEqual(
                    await node.wait_closed(sockets + KEPT_SOCKETS),
                    sockets + KEPT_SOCKETS,
                )

        asyncio.run(main())

    def test_postings(self):
        """Postings go on when their clients leave."""
        self.check_crowd(small_request(b"non_idempotent") * PIPELINED)

    def test_reads(self):
        """Reads end when their clients leave, after they have begun."""
        self.check_crowd(small_request(b"idempotent") * PIPELINED)

    def test_requests_that_are_not_read_yet(self):
        """What a node has read ahead is free once its client has left."""

        async def main():
            async with besieged_node.BesiegedNode(memory_mb=MEMORY_MB) as node:
                node.target.work_s = WORK_S
                request = small_request(b"idempotent")
                data = request * (READ_AHEAD_BYTES // len(request))
                for _ in range(3 * ROUNDS):
                    await node.send(await node.connect(CONNECTIONS), data)
                    await asyncio.sleep(WORK_S)
                    node.leave()
                node.target.work_s = 0.0
                await node.check(self)

        asyncio.run(main())

    def test_calls_of_a_second_node(self):
        """What one node takes from a crowd, another one has to run."""

        async def main():
            async with (
                besieged_node.BesiegedNode(memory_mb=MEMORY_MB) as far,
                besieged_node.BesiegedNode(
                    memory_mb=MEMORY_MB, beside=far
                ) as near,
            ):
                data = small_request(b"non_idempotent") * PIPELINED
                await send_and_leave(near, data)
                await near.check(self)
                await far.check(self)

        asyncio.run(main())


if __name__ == "__main__":
    unittest.main()
