"""Tests that each request has its answer by the time-out of its route."""

import asyncio
import unittest

from tests.mesh import small_fleet

LIMIT_MS = 600
SLACK_S = 0.5
"""A caller has its answer this long after the time-out at the latest."""

PUT = (
    b"PUT /non_idempotent/x HTTP/1.1\r\nHost: b.example\r\n"
    b"X-Attempt-Id: a1\r\nX-Deadline-Ms: %d\r\nContent-Length: 20\r\n\r\n"
)

GET = (
    b"GET /idempotent/x HTTP/1.1\r\nHost: b.example\r\n"
    b"X-Attempt-Id: a%d\r\nX-Deadline-Ms: %d\r\n\r\n"
)


async def connect(member):
    """Returns a reader and a writer of a caller's connection to a node."""
    host, _, port = member.settings.caller_address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


class TestTimeOuts(unittest.TestCase):
    def test_a_body_that_never_comes_is_answered_at_the_time_out(self):
        """The caller is told that nothing ran, and nothing does."""

        async def main():
            async with small_fleet.SmallFleet("a", "b") as fleet:
                near, far = fleet.members
                reader, writer = await connect(near)
                started_s = asyncio.get_running_loop().time()
                writer.write(PUT % LIMIT_MS + b"0123456789")
                async with asyncio.timeout(5.0):
                    head = await reader.readuntil(b"\r\n\r\n")
                took_s = asyncio.get_running_loop().time() - started_s
                writer.write(b"0123456789")
                await reader.read()
                writer.close()
                return head, took_s, far.target.ran

        head, took_s, ran = asyncio.run(main())
        self.assertTrue(head.startswith(b"HTTP/1.1 408 "), head)
        self.assertLess(took_s, LIMIT_MS / 1000 + SLACK_S)
        self.assertEqual(ran, [])

    def test_the_time_in_which_a_body_came_is_not_given_once_more(self):
        """A target that does not answer is given up at the time-out."""

        async def main():
            async with small_fleet.SmallFleet("a", "b") as fleet:
                near, far = fleet.members
                far.target.hold = asyncio.Event()
                reader, writer = await connect(near)
                started_s = asyncio.get_running_loop().time()
                writer.write(PUT % 1000 + b"0123456789")
                await asyncio.sleep(0.7)
                writer.write(b"0123456789")
                head = await reader.readuntil(b"\r\n\r\n")
                took_s = asyncio.get_running_loop().time() - started_s
                writer.close()
                return head, took_s, int(far.target.seen["x-deadline-ms"])

        head, took_s, left_ms = asyncio.run(main())
        self.assertTrue(head.startswith(b"HTTP/1.1 504 "), head)
        self.assertLess(took_s, 1.0 + SLACK_S)
        self.assertLess(left_ms, 350)

    def test_an_answer_is_not_held_by_an_earlier_one_of_a_longer_route(self):
        """Both requests are on one connection; the first has more time."""

        async def main():
            async with small_fleet.SmallFleet("a", "b") as fleet:
                near, far = fleet.members
                far.target.hold = asyncio.Event()
                reader, writer = await connect(near)
                started_s = asyncio.get_running_loop().time()
                for deadline_ms in (2 * LIMIT_MS + 600, LIMIT_MS):
                    writer.write(GET % (deadline_ms, deadline_ms))
                await reader.readuntil(b"x-attempt-id: a%d" % LIMIT_MS)
                took_s = asyncio.get_running_loop().time() - started_s
                writer.close()
                return took_s

        self.assertLess(asyncio.run(main()), LIMIT_MS / 1000 + SLACK_S)
