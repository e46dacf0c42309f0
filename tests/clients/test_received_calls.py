"""Tests of counting the calls that other nodes send."""

import asyncio
import types
import unittest

from galenatack.clients import client_account
from galenatack.clients import client_bounds
from galenatack.links import envelope
from galenatack.links import message_server
from galenatack.messages import busy
from galenatack.messages import call
from galenatack.model import call_request

ODD_HEADERS = (("zz", ""),) * 3_000
FRAME_BYTES = 20_000


class FakeLink(types.SimpleNamespace):
    """Keeps the replies to a peer."""

    def __init__(self):
        super().__init__(node_id="n1", serving=0, replies=[])

    def post(self, message, *, reply_id):
        """Keeps a reply."""
        self.replies.append((reply_id, message))


def make_call(headers):
    """Returns a call with these headers."""
    request = call_request.CallRequest(
        call_id="c1",
        service="a",
        route="r",
        method="GET",
        path="/",
        headers=headers,
        body=b"",
        deadline_ms=1000,
        posting=False,
    )
    return call.Call(request, 0)


class TestReceivedCalls(unittest.TestCase):
    def test_short_frames_with_many_headers_fill_no_gate(self):
        """Their size as frames is far below the limit on long messages."""

        async def main():
            release = asyncio.Event()
            handled = []

            async def handle(sender, message):
                handled.append(message)
                await release.wait()
                return message

            bounds = client_bounds.derive(memory_mb=110, max_fds=0)
            account = client_account.ClientAccount(
                bounds=bounds, now_s=lambda: 0.0
            )
            server = message_server.MessageServer(account=account)
            server.on(call.Call, handle)
            server.is_open = True
            link = FakeLink()
            for number in range(1, 201):
                message = make_call(ODD_HEADERS)
                received = envelope.Envelope(message, number)
                server.receive(link, received, FRAME_BYTES)
            server.receive(link, envelope.Envelope(make_call(()), 201), 100)
            await asyncio.sleep(0)
            held_bytes = account.held_bytes
            refused = [m for _, m in link.replies if isinstance(m, busy.Busy)]
            serving = link.serving
            release.set()
            await asyncio.sleep(0.01)
            self.assertLessEqual(held_bytes, bounds.held_bytes)
            self.assertEqual(len(refused) + len(handled), 201)
            self.assertEqual(serving, len(handled))
            self.assertIs(handled[-1].request.headers, ())
            self.assertGreater(len(refused), 150)
            self.assertEqual((account.held_bytes, link.serving), (0, 0))

        asyncio.run(main())


if __name__ == "__main__":
    unittest.main()
