"""Tests of targets and callers that send bytes without end."""

import asyncio
import contextlib
import gc
import tracemalloc
import unittest

from galenatack import exceptions
from galenatack.links import connection_limits
from galenatack.links import http_client
from galenatack.links import http_response
from galenatack.links import pipelined_server
from tests.mesh import small_fleet

TIME_LIMIT_S = 5.0
"""Time in which the failure must be noticed; the bytes come at full speed."""

MAX_ANSWER_BYTES = 3_500_000
MEMORY_LIMIT_BYTES = 16_000_000
"""Several times the largest answer, far below the memory of a node."""

LARGE_BYTES = 3_000_000
PIECE = bytes(65_536)
CALLERS = 40

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
ENDLESS_ANSWERS = {
    "no protocol": (b"", b"\x00\xff" * 500),
    "status line": (b"HTTP/1.1 200 ", b"a" * 1000),
    "header line": (OK + b"x: ", b"a" * 1000),
    "headers": (OK, b"x-filler: aaaaaaaa\r\n" * 50),
    "body without a length": (OK + b"\r\n", b"a" * 1000),
    "body": (OK + b"content-length: 99999999999\r\n\r\n", b"a" * 1000),
    "chunks of one byte": (OK + CHUNKED, b"1\r\na\r\n" * 200),
    "chunk extension": (OK + CHUNKED + b"1;", b"a" * 1000),
    "trailers": (OK + CHUNKED + b"0\r\n", b"x-filler: aaaaaaaa\r\n" * 50),
    "interim answers": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 40),
    "answers of others": (
        b"",
        b"HTTP/1.1 200 OK\r\nx-id: other\r\ncontent-length: 0\r\n\r\n" * 20,
    ),
}


async def send_without_end(writer, begin, more):
    """Sends bytes until the other side closes; returns their number."""
    sent = 0
    with contextlib.suppress(OSError):
        writer.write(begin)
        while not writer.is_closing():
            writer.write(more)
            sent += len(more)
            await writer.drain()
            await asyncio.sleep(0)
    return sent


def run_without_collections(main):
    """Runs a coroutine that reads the peak of the memory; returns its result.

    Only what reference counts free is freed.
    """
    gc.disable()
    tracemalloc.start()
    try:
        return asyncio.run(main())
    finally:
        tracemalloc.stop()
        gc.enable()


class TestTargets(unittest.TestCase):
    def ask(self, begin, more):
        """Returns the error of a request to an endless target."""

        async def main():
            ended = asyncio.Event()

            async def serve(reader, writer):
                await reader.read(100)
                await send_without_end(writer, begin, more)
                writer.close()
                ended.set()

            (address,) = small_fleet.free_addresses(1)
            host, port = address.split(":")
            server = await asyncio.start_server(serve, host, int(port))
            client = http_client.HttpClient(
                address=address,
                max_connections=1,
                connect_timeout_s=1.0,
                max_answer_bytes=MAX_ANSWER_BYTES,
            )
            try:
                async with asyncio.timeout(TIME_LIMIT_S):
                    await client.request(
                        "GET",
                        "/",
                        is_answer=lambda headers: (
                            (b"x-id", b"other") not in headers
                        ),
                    )
            finally:
                async with asyncio.timeout(TIME_LIMIT_S):
                    await ended.wait()
                await client.close()
                server.close()

        tracemalloc.start()
        try:
            asyncio.run(main())
        finally:
            self.peak_bytes = tracemalloc.get_traced_memory()[1]
            tracemalloc.stop()

    def test_answers_without_end_are_lost_soon(self):
        """The caller gets its answer at once, with little memory used.

        The call may have run: it must not be reported as not run.
        """
        for name, (begin, more) in ENDLESS_ANSWERS.items():
            with self.subTest(name):
                with self.assertRaises(exceptions.TargetAnswerLostError):
                    self.ask(begin, more)
                self.assertLess(self.peak_bytes, MEMORY_LIMIT_BYTES)


class TestManyCalls(unittest.TestCase):
    """Calls at the same time to a target that sends bytes without end."""

    CALLS = 60
    MEMORY_LIMIT_BYTES = 64_000_000
    """A fifth of the memory of a small node, which has 300 MB."""

    def ask(self, begin, more):
        """Returns the peak memory of three waves of calls, in bytes."""

        async def main():
            ended = []

            async def serve(reader, writer):
                await reader.read(100)
                await send_without_end(writer, begin, more)
                writer.close()
                ended.append(writer)

            async def ask(client):
                with contextlib.suppress(exceptions.TargetAnswerLostError):
                    await client.request("GET", "/")

            (address,) = small_fleet.free_addresses(1)
            host, port = address.split(":")
            server = await asyncio.start_server(serve, host, int(port))
            client = http_client.HttpClient(
                address=address,
                max_connections=self.CALLS,
                connect_timeout_s=1.0,
                max_answer_bytes=MAX_ANSWER_BYTES,
            )
            async with asyncio.timeout(30):
                for _ in range(3):
                    async with asyncio.TaskGroup() as tasks:
                        for _ in range(self.CALLS):
                            tasks.create_task(ask(client))
                while len(ended) < 3 * self.CALLS:
                    await asyncio.sleep(0.01)
            peak_bytes = tracemalloc.get_traced_memory()[1]
            await client.close()
            server.close()
            return peak_bytes

        return run_without_collections(main)

    def test_memory_is_bounded_over_all_calls(self):
        """What a failed call has read is free without a collection."""
        for name in ("body without a length", "body"):
            with self.subTest(name):
                begin, more = ENDLESS_ANSWERS[name]
                peak_bytes = self.ask(begin, more * 64)
                self.assertLess(peak_bytes, self.MEMORY_LIMIT_BYTES)


ENDLESS_REQUESTS = {
    "request line": (b"GET /", b"a" * 1000),
    "header line": (b"GET / HTTP/1.1\r\nx: ", b"a" * 1000),
    "headers": (b"GET / HTTP/1.1\r\n", b"x-filler: aaaaaaaa\r\n" * 50),
    "body": (
        b"POST / HTTP/1.1\r\ncontent-length: 99999999999\r\n\r\n",
        b"a" * 1000,
    ),
    "chunks of one byte": (
        b"POST / HTTP/1.1\r\n" + CHUNKED,
        b"1\r\na\r\n" * 200,
    ),
    "chunk extension": (b"POST / HTTP/1.1\r\n" + CHUNKED + b"1;", b"a" * 1000),
    "trailers": (
        b"POST / HTTP/1.1\r\n" + CHUNKED + b"0\r\n",
        b"x-filler: aaaaaaaa\r\n" * 50,
    ),
}


class TestManyCallers(unittest.TestCase):
    """Callers at the same time that send or leave bytes without end."""

    MEMORY_LIMIT_BYTES = 100_000_000
    """A third of the memory of a small node, callers of the test included."""

    def peak_bytes(self, scenario, **limits):
        """Returns the peak memory of a scenario with a server, in bytes."""

        async def respond(request):
            return http_response.HttpResponse(200, (), bytes(LARGE_BYTES))

        async def main():
            (address,) = small_fleet.free_addresses(1)
            self.server = pipelined_server.PipelinedServer(
                address=address,
                respond=respond,
                limits=connection_limits.ConnectionLimits(**limits),
            )
            await self.server.listen()
            host, _, port = address.rpartition(":")
            async with asyncio.timeout(30):
                await scenario(host, int(port))
            peak_bytes = tracemalloc.get_traced_memory()[1]
            self.server.close()
            await asyncio.sleep(0.05)
            return peak_bytes

        return run_without_collections(main)

    def test_callers_that_do_not_read_do_not_take_the_memory(self):
        """The slowest are dropped, and one that reads has its answer."""

        async def scenario(host, port):
            silent = []
            for _ in range(12):
                reader, writer = await asyncio.open_connection(
                    host, port, limit=1000
                )
                writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n" * 16)
                silent.append((reader, writer))
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(LARGE_BYTES)
            self.assertGreater(self.server.stats.dropped_peers, 0)
            writer.transport.abort()
            for _, unread in silent:
                unread.transport.abort()

        self.assertLess(self.peak_bytes(scenario), self.MEMORY_LIMIT_BYTES)

    def test_requests_that_stop_do_not_take_the_memory(self):
        """Those that come later are read once the first have been refused."""

        async def send(writer):
            writer.write(b"PUT / HTTP/1.1\r\nContent-Length: 4000000\r\n\r\n")
            for _ in range(LARGE_BYTES // len(PIECE)):
                writer.write(PIECE)
                await writer.drain()

        async def put(host, port):
            reader, writer = await asyncio.open_connection(host, port)
            sending = asyncio.create_task(send(writer))
            answer = await reader.read(13)
            sending.cancel()
            writer.transport.abort()
            return answer

        async def scenario(host, port):
            answers = await asyncio.gather(
                *(put(host, port) for _ in range(CALLERS))
            )
            self.assertEqual(set(answers), {b"HTTP/1.1 408 "})

        peak_bytes = self.peak_bytes(scenario, request_timeout_s=1.0)
        self.assertLess(peak_bytes, self.MEMORY_LIMIT_BYTES)

    def test_a_refused_request_gives_its_room_to_the_next_one(self):
        """The refused have not gone away yet."""
        head = b"PUT / HTTP/1.1\r\nContent-Length: %d\r\n\r\n"

        async def put(host, port, length):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(head % length + bytes(LARGE_BYTES))
            return await reader.read(13), writer

        async def scenario(host, port):
            stalled = [
                asyncio.create_task(put(host, port, LARGE_BYTES + 1))
                for _ in range(pipelined_server.MAX_LARGE_REQUESTS)
            ]
            await asyncio.sleep(0.5)
            answer, writer = await put(host, port, LARGE_BYTES)
            self.assertEqual(answer, b"HTTP/1.1 200 ")
            writer.transport.abort()
            for _, refused in await asyncio.gather(*stalled):
                refused.transport.abort()

        self.peak_bytes(scenario, request_timeout_s=1.0)

    def test_what_a_refused_request_has_sent_is_free_at_once(self):
        """No collection of garbage is needed."""
        chunk = b"10000\r\n" + PIECE + b"\r\n"

        async def send(host, port):
            _, writer = await asyncio.open_connection(host, port)
            begin = b"PUT / HTTP/1.1\r\n" + CHUNKED
            await send_without_end(writer, begin, chunk)

        async def scenario(host, port):
            for _ in range(CALLERS):
                await send(host, port)

        self.assertLess(self.peak_bytes(scenario), MEMORY_LIMIT_BYTES)


class TestCallers(unittest.TestCase):
    def send(self, begin, more):
        """Sends an endless request; returns the bytes that were taken."""

        async def respond(request):
            self.requests.append(request)
            return http_response.HttpResponse(200)

        async def main():
            (address,) = small_fleet.free_addresses(1)
            host, port = address.split(":")
            server = pipelined_server.PipelinedServer(
                address=address, respond=respond
            )
            await server.listen()
            _, writer = await asyncio.open_connection(host, int(port))
            async with asyncio.timeout(TIME_LIMIT_S):
                sent = await send_without_end(writer, begin, more)
            server.close()
            return sent

        self.requests = []
        return asyncio.run(main())

    def test_requests_without_end_are_refused_soon(self):
        """Not more than the limits allow is read, and nothing is run."""
        limits = connection_limits.ConnectionLimits()
        for name, (begin, more) in ENDLESS_REQUESTS.items():
            with self.subTest(name):
                sent = self.send(begin, more)
                self.assertEqual(self.requests, [])
                # Each body byte in a chunk of its own takes six bytes; the
                # kernels of both sides buffer some more.
                self.assertLess(sent, 7 * limits.max_body_bytes + 12_000_000)
