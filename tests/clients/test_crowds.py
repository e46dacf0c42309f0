"""Tests of crowds that would take the memory or the descriptors of a node.

Each one guards against a process that ends because such clients fill it: the
process lives, stays below the limits of its machine and serves an ordinary
caller afterwards.
"""

import asyncio
import unittest

from soak import node_process
from tests.clients import besieged_node

MEMORY_MB = 110
"""About half of the smallest machine, so that a small crowd fills it."""

MAX_FDS = 300
START = b"POST /idempotent/x HTTP/1.1\r\nhost: a.example\r\n"
SHORT_LINES = b"a:\r\n" * 3_900
ODD_LINES = b"zz:\r\n" * 3_100
BODY_BYTES = 3_900_000
UPGRADE = (
    b"GET / HTTP/1.1\r\nhost: a\r\nupgrade: websocket\r\n"
    b"connection: upgrade\r\nsec-websocket-version: 13\r\n"
    b"sec-websocket-key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n"
)
SMALL_BODY = bytes(60_000)


WORK_S = 0.3
"""Calls of the crowd take this long, so that others have to wait."""


def crowd_of(count, data, *, work_s=0.0, **connect):
    """Runs one crowd that sends the same bytes on each connection.

    Args:
        count: Number of connections.
        data: Bytes that each sends.
        work_s: How long a call takes until the crowd has left.
        **connect: Options of the connections.
    """

    async def main(test):
        async with besieged_node.BesiegedNode(memory_mb=MEMORY_MB) as node:
            node.target.work_s = work_s
            sockets = await node.connect(count, **connect)
            await node.send(sockets, data)
            await node.settle()
            if work_s:
                node.target.work_s = 0.0
                node.leave()
            await node.check(test)

    return main


class TestHeads(unittest.TestCase):
    def test_unfinished_heads_of_short_lines(self):
        """Headers of heads without an end are kept until the time-out."""
        crowd = crowd_of(240, START + ODD_LINES)
        asyncio.run(crowd(self))

    def test_whole_heads_of_short_lines(self):
        """Headers of requests that run are kept until they are answered."""
        data = START + b"content-length: 0\r\n" + SHORT_LINES + b"\r\n"
        crowd = crowd_of(160, data, work_s=WORK_S)
        asyncio.run(crowd(self))

    def test_whole_heads_of_odd_lines(self):
        """Longer names cost more objects than names of one letter."""
        data = START + b"content-length: 0\r\n" + ODD_LINES + b"\r\n"
        crowd = crowd_of(240, data, work_s=WORK_S)
        asyncio.run(crowd(self))

    def test_pipelined_heads_of_short_lines(self):
        """Sixteen requests of a connection are kept at a time."""
        data = START + b"content-length: 0\r\n" + SHORT_LINES + b"\r\n"
        crowd = crowd_of(40, data * 20, work_s=WORK_S)
        asyncio.run(crowd(self))

    def test_heads_of_short_lines_before_bodies_that_do_not_end(self):
        """Headers are kept while the body is received."""
        data = START + b"content-length: 9\r\n" + ODD_LINES + b"\r\n" + b"x"
        crowd = crowd_of(240, data)
        asyncio.run(crowd(self))


class TestBodies(unittest.TestCase):
    def test_whole_bodies(self):
        """Many bodies of legal size arrive at once."""
        data = START + b"content-length: %d\r\n\r\n" % BODY_BYTES
        crowd = crowd_of(60, data + bytes(BODY_BYTES), work_s=WORK_S)
        asyncio.run(crowd(self))

    def test_bodies_that_stop_short_of_their_end(self):
        """Most of them are kept until the time-out."""
        data = START + b"content-length: %d\r\n\r\n" % BODY_BYTES
        crowd = crowd_of(40, data + bytes(BODY_BYTES - 1))
        asyncio.run(crowd(self))

    def test_bodies_in_chunks_that_stop_short_of_their_end(self):
        """Their size is not known before."""
        chunk = b"%x\r\n" % 50_000 + bytes(50_000) + b"\r\n"
        data = START + b"transfer-encoding: chunked\r\n\r\n" + chunk * 78
        crowd = crowd_of(40, data)
        asyncio.run(crowd(self))

    def test_small_bodies_that_stop_short_of_their_end(self):
        """Bodies that need no room add up as well."""
        data = START + b"content-length: 65000\r\n\r\n" + bytes(64_999)
        crowd = crowd_of(1_300, data)
        asyncio.run(crowd(self))

    def test_pipelined_small_bodies(self):
        """Sixteen bodies of a connection that need no room are kept."""
        data = START + b"content-length: %d\r\n\r\n" % len(SMALL_BODY)
        crowd = crowd_of(60, (data + SMALL_BODY) * 24, work_s=WORK_S)
        asyncio.run(crowd(self))

    def test_bodies_announced_far_over_the_limit(self):
        """Their senders go on sending."""
        data = START + b"content-length: 5000000000\r\n\r\n"
        crowd = crowd_of(40, data + bytes(6_000_000))
        asyncio.run(crowd(self))

    def test_bodies_far_over_the_limit_in_chunks(self):
        """Nothing announces their size."""
        chunk = b"%x\r\n" % 50_000 + bytes(50_000) + b"\r\n"
        data = START + b"transfer-encoding: chunked\r\n\r\n" + chunk * 200
        crowd = crowd_of(40, data)
        asyncio.run(crowd(self))

    def test_bodies_of_tiny_chunks_with_extensions(self):
        """Bytes beside the body, and trailers, are not kept."""
        data = START + b"transfer-encoding: chunked\r\n\r\n"
        data += b"1;a=b\r\nx\r\n" * 3_000 + b"0\r\n" + b"t: v\r\n" * 2_000
        crowd = crowd_of(60, data)
        asyncio.run(crowd(self))


class TestCalm(unittest.TestCase):
    def check_served(self, request):
        async def main():
            async with besieged_node.BesiegedNode(memory_mb=MEMORY_MB) as node:
                (sock,) = await node.connect(1)
                await node.send([sock], request)
                loop = asyncio.get_running_loop()
                async with asyncio.timeout(besieged_node.ANSWER_S):
                    answer = await loop.sock_recv(sock, 12)
                self.assertEqual(answer, b"HTTP/1.1 200")
                await node.check(self)

        asyncio.run(main())

    def test_one_head_of_odd_lines_is_served(self):
        """A limit for crowds refuses no single request."""
        lines = b"x-attempt-id: u\r\ncontent-length: 0\r\n" + ODD_LINES
        self.check_served(START + lines + b"\r\n")

    def test_one_long_body_is_served(self):
        """A limit for crowds refuses no single request."""
        lines = b"x-attempt-id: u\r\ncontent-length: %d\r\n\r\n"
        data = bytes(BODY_BYTES // 2)
        self.check_served(START + lines % len(data) + data)


class TestAnswers(unittest.TestCase):
    def test_answers_that_nobody_reads(self):
        """Each connection has just less unsent than closes it."""
        data = START + b"x-attempt-id: u\r\ncontent-length: %d\r\n\r\n"
        data = data % len(SMALL_BODY) + SMALL_BODY
        crowd = crowd_of(150, data * 24, receive_bytes=4_096)
        asyncio.run(crowd(self))


class TestPeerListener(unittest.TestCase):
    def test_first_messages_that_do_not_end(self):
        """Who has not said who it is may make a node keep little."""

        async def main():
            async with besieged_node.BesiegedNode(memory_mb=MEMORY_MB) as node:
                sockets = await node.connect(60, port=node_process.PEER_PORT)
                await node.send(sockets, UPGRADE)
                # A masked frame of which the last byte is missing.
                size = BODY_BYTES.to_bytes(8, "big")
                frame = b"\x82\xff" + size + bytes(4 + BODY_BYTES - 1)
                await node.send(sockets, frame)
                await node.settle()
                await node.check(self)

        asyncio.run(main())


class TestConnections(unittest.TestCase):
    def check_silent_crowd(self, port):
        async def main():
            async with besieged_node.BesiegedNode(max_fds=MAX_FDS) as node:
                await node.connect(150, port=port)
                await node.settle()
                await node.check(self)

        asyncio.run(main())

    def test_silent_connections_of_callers(self):
        """Connections that send nothing take descriptors."""
        self.check_silent_crowd(node_process.CALLER_PORT)

    def test_silent_connections_to_the_control_listener(self):
        """All listeners share the descriptors of the process."""
        self.check_silent_crowd(node_process.CONTROL_PORT)

    def test_silent_connections_to_the_readiness_listener(self):
        """All listeners share the descriptors of the process."""
        self.check_silent_crowd(node_process.READY_PORT)

    def test_silent_connections_to_the_peer_listener(self):
        """All listeners share the descriptors of the process."""
        self.check_silent_crowd(node_process.PEER_PORT)


if __name__ == "__main__":
    unittest.main()
