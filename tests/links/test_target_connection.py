"""Tests of the connection to a target, with scripted answers."""

import contextlib
import unittest

import anyio

from galenatack import exceptions
from galenatack.links import target_link
from tests.links import test_loopback

SHED = (
    b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n"
    b"content-length: 0\r\n\r\n"
)
_ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s"


def _answer(body: bytes) -> bytes:
    return _ANSWER % (len(body), body)


def run_with_answers(scenario, answers, **options):
    """Runs `scenario(link)`; each request gets the next of `answers`."""
    scripted = list(answers)

    async def main():
        async def serve(stream):
            async with stream:
                try:
                    while True:
                        await stream.receive()
                        data, is_end = scripted.pop(0)
                        await stream.send(data)
                        if is_end:
                            return
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return

        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, serve)
            link = target_link.HttpTargetLink(
                base_url=f"http://127.0.0.1:{port}", **options
            )
            await scenario(link)
            await link.close()
            tasks.cancel_scope.cancel()

    anyio.run(main)


class TestExchange(unittest.TestCase):
    def test_surplus_bytes_do_not_answer_the_next_call(self):
        """A second answer to one call is discarded."""

        async def scenario(link):
            first = await link.call(test_loopback._request())
            second = await link.call(test_loopback._request())
            self.assertEqual((first.body, second.body), (b"one", b"two"))

        surplus = _answer(b"one") + _answer(b"other")
        run_with_answers(scenario, [(surplus, False), (_answer(b"two"), False)])

    def test_answer_without_a_length_ends_with_the_connection(self):
        """The close of the connection completes such an answer."""

        async def scenario(link):
            answer = await link.call(test_loopback._request())
            self.assertEqual(answer.body, b"rest")

        run_with_answers(scenario, [(b"HTTP/1.1 200 OK\r\n\r\nrest", True)])

    def test_truncated_and_malformed_answers_are_lost(self):
        """The call may have run, so the outcome must not be `not-run`."""
        truncated = b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nx"
        interim = b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n"
        cut_head = b"HTTP/1.1 200 OK\r\nx-a: b\r\n"
        for data in (
            truncated,
            b"nonsense\r\n\r\n",
            interim,
            interim + interim,
            interim + cut_head,
            cut_head,
            cut_head + b"\r",
            b"HTTP/1.1 200 OK",
        ):

            async def scenario(link):
                with self.assertRaises(exceptions.TargetAnswerLostError):
                    await link.call(test_loopback._request())

            run_with_answers(scenario, [(data, True)])

    def test_a_refusal_that_is_written_once_more_refuses_no_other_call(self):
        """Answers have no identifier, so the connection is given up."""
        connections = []

        async def serve(stream):
            connections.append(stream)
            is_first = len(connections) == 1
            with contextlib.suppress(anyio.EndOfStream):
                while await stream.receive():
                    await stream.send(SHED if is_first else _answer(b"ran"))

        async def main():
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, serve)
                link = target_link.HttpTargetLink(
                    base_url=f"http://127.0.0.1:{port}"
                )
                with self.assertRaises(exceptions.TargetShedError):
                    await link.call(test_loopback._request())
                answer = await link.call(test_loopback._request())
                self.assertEqual(answer.body, b"ran")
                await link.close()
                tasks.cancel_scope.cancel()

        anyio.run(main)

    def test_large_answer_is_refused(self):
        """An answer above the limit is not buffered."""

        async def scenario(link):
            with self.assertRaises(exceptions.TargetAnswerLostError):
                await link.call(test_loopback._request())

        run_with_answers(
            scenario, [(_answer(b"x" * 99), False)], max_answer_bytes=50
        )

    def test_request_that_cannot_be_written_did_not_start(self):
        """An invalid path is not sent, so the outcome must not be `unknown`."""

        async def scenario(link):
            for path in ("/a b", "/\u20ac"):
                with self.assertRaises(exceptions.TargetConnectError):
                    await link.call(test_loopback._request(path=path))

        run_with_answers(scenario, [])
