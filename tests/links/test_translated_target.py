"""Tests of the link to a target that answers requests twice."""

import asyncio
import unittest

from galenatack import exceptions
from galenatack.links import translated_target
from galenatack.platform import target_headers
from tests.links import test_idle_connections

HEALTH_ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
    b"X-Instance-Id: i-1\r\nX-Warmup-Ms: %d\r\n\r\n"
)
CALL_ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Upstream-Stamp: s\r\n"
    b"X-Attempt-Id: r\r\nX-Warmup-Ms: 9000\r\n\r\n"
)


class TestTranslatedTarget(unittest.TestCase):
    def run_link(self, scenario, *, probe_answer, call_answer):
        """Runs a scenario against a target that sends these bytes."""

        async def serve(reader, writer):
            try:
                while head := await reader.readuntil(b"\r\n\r\n"):
                    is_probe = head.startswith(b"GET /health ")
                    writer.write(probe_answer if is_probe else call_answer)
            except (asyncio.IncompleteReadError, ConnectionError):
                writer.transport.abort()

        async def main():
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            link = translated_target.TranslatedTarget(
                address=f"127.0.0.1:{port}",
                dialect=target_headers.TargetHeaders(),
                max_connections=1,
                on_condition=lambda *_: None,
            )
            async with asyncio.timeout(5):
                result = await scenario(link)
            await link.close()
            server.close()
            return result

        return asyncio.run(main())

    def test_a_probe_skips_the_late_answer_of_a_call(self):
        """It says for how long the target was cold when the call ran."""
        cold_ms = self.run_link(
            lambda link: link.ask_cold_ms("/health", "i-1"),
            probe_answer=CALL_ANSWER + HEALTH_ANSWER % 0,
            call_answer=b"",
        )
        self.assertEqual(cold_ms, 0)

    def test_a_call_does_not_wait_for_a_probe_or_get_its_answer(self):
        """A target with one connection for calls would answer none."""

        async def scenario(link):
            probe = asyncio.create_task(link.ask_cold_ms("/health", "i-1"))
            await asyncio.sleep(0.05)
            try:
                answer = await link.call(
                    test_idle_connections.call(posting=False)
                )
            except exceptions.TargetAnswerLostError:
                self.fail("the answer of another request was taken")
            finally:
                probe.cancel()
            return answer.status

        status = self.run_link(
            scenario, probe_answer=b"", call_answer=CALL_ANSWER
        )
        self.assertEqual(status, 200)
