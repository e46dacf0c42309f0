"""Tests of the callers of the soak."""

import asyncio
import socket
import time
import unittest

from soak import callers


class TestHasAnswer(unittest.TestCase):
    def ask(self, *, answer_s, pause_s):
        """Asks with a limit of 0.2 s; this process pauses from 0.1 s on."""

        async def main():
            loop = asyncio.get_running_loop()
            ours, theirs = socket_pair()
            reader, writer = await asyncio.open_connection(sock=ours)
            sending = loop.run_in_executor(None, answer, theirs)
            loop.call_later(0.1, time.sleep, pause_s)
            found = await callers._has_answer(reader, 0.2)
            await sending
            writer.transport.abort()
            return found

        def answer(theirs):
            time.sleep(answer_s)
            theirs.sendall(b"HTTP/1.1 408")
            theirs.close()

        return asyncio.run(main())

    def test_an_answer_during_a_pause_of_the_caller_is_in_time(self):
        """The caller was late, not the answer."""
        self.assertTrue(self.ask(answer_s=0.15, pause_s=0.3))

    def test_a_late_answer_is_late(self):
        self.assertFalse(self.ask(answer_s=0.4, pause_s=0.0))


def socket_pair():
    """Returns two connected sockets; the first one does not block."""
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    return ours, theirs
