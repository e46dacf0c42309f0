"""Tests of requests and replies over real connections."""

import functools
import unittest

import anyio
import anyio.lowlevel

from galenatack import exceptions
from galenatack.messages import ask_posting
from galenatack.messages import call
from galenatack.messages import cancel_call
from galenatack.messages import posting_status
from tests.links import loopback

TIMEOUT_S = 5.0


class TestRequests(unittest.TestCase):
    def _ask(self, handler, message=None, timeout_s=TIMEOUT_S):
        async def scenario(tasks):
            first, second = await loopback.start_pair(tasks)
            if handler is not None:
                second.peers.on(ask_posting.AskPosting, handler)
                second.peers.on(call.Call, handler)
            question = message or ask_posting.AskPosting("prices", "k")
            return await first.peers.request(
                "a1-1", question, timeout_s=timeout_s
            )

        return loopback.run(scenario)

    def test_reply(self):
        """A request gets the value that the handler returned."""
        status = posting_status.PostingStatus("unknown", None)

        async def handler(sender, message):
            self.assertEqual((sender, message[1]), ("a1-0", "k"))
            return status

        self.assertEqual(self._ask(handler), status)

    def test_busy(self):
        """A busy peer returns when to retry."""

        async def handler(sender, message):
            raise exceptions.PeerBusyError("full", retry_after_ms=70)

        with self.assertRaises(exceptions.PeerBusyError) as caught:
            self._ask(handler)
        self.assertEqual(caught.exception.retry_after_ms, 70)

    def test_no_handler(self):
        """A node that is still starting answers Busy."""
        with self.assertRaises(exceptions.PeerBusyError):
            self._ask(None)

    def test_failing_handler(self):
        """If the handler fails, the request may have run."""

        async def handler(sender, message):
            raise ZeroDivisionError

        with (
            self.assertLogs("galenatack.links", "ERROR"),
            self.assertRaises(exceptions.PeerTimeoutError),
        ):
            self._ask(handler)

    def test_timeout(self):
        """A request without a reply ends at its timeout."""

        async def handler(sender, message):
            await anyio.sleep_forever()

        with self.assertRaises(exceptions.PeerTimeoutError):
            self._ask(handler, timeout_s=0.05)

    def test_unknown_node(self):
        """Nothing is sent to a node that is not a member."""

        async def scenario(tasks):
            node = await loopback.Node("a1-0").start(tasks)
            with self.assertRaises(exceptions.PeerUnreachableError):
                await node.peers.request(
                    "x", loopback.call_message(), timeout_s=TIMEOUT_S
                )

        loopback.run(scenario)

    def test_concurrent_calls(self):
        """Each of many concurrent calls gets its own answer, on one link."""

        async def scenario(tasks):
            first, second = await loopback.start_pair(tasks)

            async def slow_first(sender, message):
                await anyio.sleep(0.002 * (9 - message.request.body[0] % 10))
                return await loopback.answer_call(sender, message)

            second.peers.on(call.Call, slow_first)
            answers = {}

            async def ask(number):
                answers[number] = await first.peers.request(
                    "a1-1",
                    loopback.call_message(bytes([number])),
                    timeout_s=TIMEOUT_S,
                )

            async with anyio.create_task_group() as callers:
                for number in range(100):
                    callers.start_soon(ask, number)
            links = [
                link
                for link in first.peers._registry.links()
                if link.purpose == "calls"
            ]
            return answers, len(links)

        answers, links = loopback.run(scenario)
        for number, answer in answers.items():
            self.assertEqual(answer.result.body, bytes([number]))
        self.assertEqual((len(answers), links), (100, 1))

    def test_cancel_uses_the_link_of_its_call(self):
        """A cancel cannot overtake its call over another connection."""

        async def scenario(tasks):
            first, second = await loopback.start_pair(tasks)
            received = []

            async def record_name(name, sender, message):
                received.append(name)

            note_call = functools.partial(record_name, "call")
            note_cancel = functools.partial(record_name, "cancel")
            second.peers.on(call.Call, note_call)
            second.peers.on(cancel_call.CancelCall, note_cancel)
            link = await first.peers._find_or_open("a1-1", for_calls=True)
            for _ in range(20):
                link.post(loopback.call_message(bytes(50_000)))
                await first.peers.send("a1-1", cancel_call.CancelCall("c1"))
            await loopback.until(lambda: len(received) == 40)
            return received

        self.assertEqual(loopback.run(scenario), ["call", "cancel"] * 20)
