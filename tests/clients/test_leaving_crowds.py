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
SHORT_BODY_BYTES = 60_000
LONG_BODY_BYTES = 3_900_000
WORK_S = 0.3
LEAVE_S = 0.1
KEPT_SOCKETS = 16
"""Sockets that a node may have opened for itself meanwhile."""


def small_request(kind):
    """Returns a request as short as an ordinary one."""
    return (
        b"POST /%s/x HTTP/1.1\r\nhost: a.example\r\nx-attempt-id: u\r\n"
        b"content-length: 2\r\n\r\nab" % kind
    )


def request_with(body_bytes):
    """Returns a posting with a body."""
    head = (
        b"POST /non_idempotent/x HTTP/1.1\r\nhost: a.example\r\n"
        b"x-attempt-id: u\r\ncontent-length: %d\r\n\r\n" % body_bytes
    )
    return head + bytes(body_bytes)


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

    def check_slow_crowd(
        self, data, rounds, *, leave_s, connections=CONNECTIONS
    ):
        """Checks a crowd that leaves while its requests run."""

        async def main():
            async with besieged_node.BesiegedNode(memory_mb=MEMORY_MB) as node:
                node.target.work_s = WORK_S
                for _ in range(rounds):
                    await node.send(await node.connect(connections), data)
                    await asyncio.sleep(leave_s)
                    node.leave()
                node.target.work_s = 0.0
                await node.check(self)

        asyncio.run(main())

    def test_requests_that_are_not_read_yet(self):
        """What a node has read ahead is free once its client has left."""
        request = small_request(b"idempotent")
        count = READ_AHEAD_BYTES // len(request)
        self.check_slow_crowd(request * count, 3 * ROUNDS, leave_s=WORK_S)

    def test_bodies_of_requests_that_run(self):
        """A body is free once its request was cancelled."""
        self.check_slow_crowd(
            request_with(SHORT_BODY_BYTES) * 16,
            4 * ROUNDS,
            leave_s=LEAVE_S,
            connections=100,
        )

    def test_bodies_of_postings_that_go_on(self):
        """Long bodies are kept by the gate after their clients have left."""
        self.check_slow_crowd(
            request_with(LONG_BODY_BYTES), ROUNDS, leave_s=WORK_S
        )

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
