"""Tests of what clients get that are refused for want of memory."""

import asyncio
import unittest

from galenatack.clients import client_account
from galenatack.clients import client_bounds
from galenatack.links import http_response
from galenatack.links import pipelined_server
from tests.clients import answers
from tests.mesh import small_fleet

LIMIT_BYTES = 300_000
POST = b"POST /%s HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n"


class TestRefusals(unittest.TestCase):
    def send(self, data):
        """Returns the paths that ran and what came back."""

        async def main():
            ran = []

            async def respond(request):
                ran.append(request.target)
                return http_response.HttpResponse(200)

            (address,) = small_fleet.free_addresses(1)
            bounds = client_bounds.derive(memory_mb=0, max_fds=0)
            account = client_account.ClientAccount(
                bounds=bounds._replace(held_bytes=LIMIT_BYTES),
                now_s=lambda: 0.0,
            )
            server = pipelined_server.PipelinedServer(
                address=address, respond=respond, account=account
            )
            await server.listen()
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            async with asyncio.timeout(10):
                answer = await reader.read()
            writer.close()
            server.close()
            return ran, answer

        return asyncio.run(main())

    def test_a_request_without_room_is_told_to_come_back(self):
        """It would come back at once, while there is still no room."""
        size = 200_000
        ran, answer = self.send(POST % (b"big", size) + bytes(size))
        self.assertEqual(ran, [])
        self.assertEqual(answers.statuses(answer), [503])
        self.assertIn(b"\r\nretry-after: 0.5\r\n", answer.lower())

    def test_requests_behind_a_refused_one_do_not_run(self):
        """Their client takes them for unread and sends them again."""
        size = 200_000
        ran, answer = self.send(
            POST % (b"first", 0)
            + POST % (b"big", size)
            + bytes(size)
            + POST % (b"last", 0) * 20
        )
        self.assertEqual(ran, ["/first"])
        self.assertEqual(answers.statuses(answer), [200, 503])


if __name__ == "__main__":
    unittest.main()
