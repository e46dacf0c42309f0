"""Tests of dispatching the messages of peers."""

import asyncio
import types
import unittest

from galenatack.links import envelope
from galenatack.links import message_server
from galenatack.messages import busy
from galenatack.messages import cancel_call

FRAME_BYTES = 4_000_000
MEMORY_LIMIT_BYTES = 64_000_000


class FakeLink(types.SimpleNamespace):
    """Keeps the replies to a peer."""

    def __init__(self):
        super().__init__(node_id="n1", serving=0, replies=[])

    def post(self, message, *, reply_id):
        """Keeps a reply."""
        self.replies.append((reply_id, message))


class TestMessageServer(unittest.TestCase):
    def test_long_messages_of_all_peers_are_bounded_together(self):
        """What is beyond the limit is refused, and short messages are not."""

        async def main():
            release = asyncio.Event()

            async def handle(sender, message):
                handled.append(sender)
                await release.wait()
                return message

            server = message_server.MessageServer()
            server.on(cancel_call.CancelCall, handle)
            server.is_open = True
            links = [FakeLink() for _ in range(8)]
            message = cancel_call.CancelCall("c")

            def receive(number, size_bytes):
                server.receive(
                    links[number % len(links)],
                    envelope.Envelope(message, number),
                    size_bytes,
                )

            handled = []
            for number in range(1, 41):
                receive(number, FRAME_BYTES)
            receive(41, 100)
            await asyncio.sleep(0)
            begun = len(handled)
            release.set()
            await asyncio.sleep(0.01)
            receive(42, FRAME_BYTES)
            await asyncio.sleep(0.01)
            replies = [reply for link in links for reply in link.replies]
            return begun, dict(replies)

        begun, replies = asyncio.run(main())
        self.assertEqual(begun, 1 + MEMORY_LIMIT_BYTES // FRAME_BYTES)
        refused = {
            number
            for number, reply in replies.items()
            if isinstance(reply, busy.Busy)
        }
        self.assertEqual(refused, set(range(17, 41)))
        self.assertEqual(len(replies), 42)
