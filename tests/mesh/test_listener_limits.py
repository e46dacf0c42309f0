"""Tests of the limits of a node's own listeners."""

import asyncio
import unittest

from tests.mesh import small_fleet

POST = (
    b"POST /v1/instances/i-n0/heartbeat HTTP/1.1\r\nHost: a\r\n"
    b"Content-Length: 1000000\r\n\r\n"
)
ANNOUNCEMENT_LIMIT_BYTES = 65_536
"""Far above the largest announcement of a target."""


class TestListenerLimits(unittest.TestCase):
    def test_long_bodies_are_kept_by_no_listener_but_the_callers(self):
        """Announcements and questions for readiness are short."""

        async def post(address):
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(POST + bytes(ANNOUNCEMENT_LIMIT_BYTES + 1))
            answer = await reader.read(13)
            writer.transport.abort()
            return answer

        async def main():
            async with small_fleet.SmallFleet("a") as fleet:
                settings = fleet.members[0].settings
                async with asyncio.timeout(5.0):
                    return [
                        await post(settings.control_address),
                        await post(settings.ready_address),
                        await post(settings.metrics_address),
                    ]

        self.assertEqual(asyncio.run(main()), [b"HTTP/1.1 413 "] * 3)
