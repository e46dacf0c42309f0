"""Tests of the pipelined listener at the level of bytes."""

import asyncio
import unittest

from galenatack.links import connection_limits
from galenatack.links import http_response
from galenatack.links import pipelined_connection
from galenatack.links import pipelined_server
from tests.mesh import small_fleet

GET = b"GET /%s HTTP/1.1\r\nHost: a\r\n\r\n"


class Rig:
    """A server whose answers wait for gates that the test opens."""

    def __init__(self, **limits):
        self.received = []
        self.cancelled = []
        self.gates = {}
        self.server = pipelined_server.PipelinedServer(
            address=small_fleet.free_addresses(1)[0],
            respond=self.respond,
            limits=connection_limits.ConnectionLimits(**limits),
        )

    async def respond(self, request):
        """Answers with the path and the body once the path's gate is open."""
        self.received.append(request)
        gate = self.gates.get(request.target)
        if gate is not None:
            try:
                await gate.wait()
            except asyncio.CancelledError:
                self.cancelled.append(request.target)
                raise
        body = request.target.encode() + request.body
        return http_response.HttpResponse(200, (("x-a", "1"),), body)

    async def connect(self):
        """Returns a reader and a writer."""
        host, _, port = self.server._address.rpartition(":")
        return await asyncio.open_connection(host, int(port))


def run(scenario, **limits):
    """Runs a scenario against a server."""

    async def main():
        rig = Rig(**limits)
        await rig.server.listen()
        task = asyncio.create_task(rig.server.run())
        try:
            async with asyncio.timeout(10):
                await scenario(rig)
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    asyncio.run(main())


class TestPipelinedConnection(unittest.TestCase):
    def test_requests_run_concurrently_and_are_answered_in_order(self):
        """A slow first request does not block the second."""

        async def scenario(rig):
            rig.gates["/1"] = asyncio.Event()
            reader, writer = await rig.connect()
            writer.write(GET % b"1" + GET % b"2")
            while len(rig.received) < 2:
                await asyncio.sleep(0.01)
            rig.gates["/1"].set()
            text = await reader.readuntil(b"/2")
            self.assertLess(text.index(b"/1"), text.index(b"/2"))
            writer.close()

        run(scenario)

    def test_a_request_with_two_lengths_is_refused(self):
        """Its body could smuggle a second request."""

        async def scenario(rig):
            reader, writer = await rig.connect()
            writer.write(
                b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + GET % b"x"
            )
            text = await reader.read()
            self.assertTrue(text.startswith(b"HTTP/1.1 400 "))
            self.assertEqual(text.count(b"HTTP/1.1"), 1)
            self.assertEqual(rig.received, [])

        run(scenario)

    def test_a_disconnect_cancels_the_requests(self):
        """All requests of the connection are cancelled."""

        async def scenario(rig):
            rig.gates = {"/1": asyncio.Event(), "/2": asyncio.Event()}
            _, writer = await rig.connect()
            writer.write(GET % b"1" + GET % b"2")
            while len(rig.received) < 2:
                await asyncio.sleep(0.01)
            writer.close()
            while len(rig.cancelled) < 2:
                await asyncio.sleep(0.01)

        run(scenario)

    def test_a_draining_connection_closes_after_its_last_answer(self):
        """Received requests are answered; the last has `connection: close`."""

        async def scenario(rig):
            rig.gates["/1"] = asyncio.Event()
            reader, writer = await rig.connect()
            writer.write(GET % b"1" + GET % b"2")
            while len(rig.received) < 2:
                await asyncio.sleep(0.01)
            rig.server.drain()
            rig.gates["/1"].set()
            text = await reader.read()
            first, _, second = text.partition(b"/1")
            self.assertNotIn(b"connection: close", first)
            self.assertIn(b"connection: close", second)
            self.assertIn(b"/2", second)
            writer.close()

        run(scenario)

    def test_a_busy_peer_does_not_keep_its_connection_open(self):
        """Received requests are answered; later ones are not read."""

        async def scenario(rig):
            rig.gates["/1"] = asyncio.Event()
            reader, writer = await rig.connect()
            writer.write(GET % b"1")
            while len(rig.received) < 1:
                await asyncio.sleep(0.01)
            rig.server.drain()
            writer.write(GET % b"2")
            while len(rig.received) < 2:
                await asyncio.sleep(0.01)
            rig.server.finish()
            writer.write(GET % b"3")
            await asyncio.sleep(0.05)
            rig.gates["/1"].set()
            text = await reader.read()
            self.assertEqual(text.count(b"HTTP/1.1 200"), 2)
            self.assertIn(b"connection: close", text.partition(b"/1")[2])
            self.assertEqual(len(rig.received), 2)
            writer.close()

        run(scenario)

    def test_bodies_with_a_length_and_in_chunks_are_complete(self):
        """Both forms are parsed when they arrive byte by byte."""

        async def scenario(rig):
            chunked = (
                b"PUT /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked"
                b"\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
            )
            plain = (
                b"PUT /p HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n12345"
            )
            reader, writer = await rig.connect()
            for byte in chunked + plain:
                writer.write(bytes([byte]))
                await writer.drain()
            await reader.readuntil(b"/p12345")
            bodies = [request.body for request in rig.received]
            self.assertEqual(bodies, [b"abcde", b"12345"])
            writer.close()

        run(scenario)

    def test_a_long_request_is_read_in_turns_with_others(self):
        """Between two parts of it, the event loop runs what is due."""
        size_bytes = 1_000_000

        async def scenario(rig):
            loop = asyncio.get_running_loop()
            turns = []

            def count():
                turns.append(loop.time())
                loop.call_soon(count)

            reader, writer = await rig.connect()
            writer.write(
                b"PUT /1 HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % size_bytes
            )
            await asyncio.sleep(0.05)
            count()
            writer.write(bytes(size_bytes))
            await reader.readuntil(b"\r\n\r\n/1")
            self.assertGreater(len(turns), size_bytes // 8_192)
            writer.transport.abort()

        run(scenario)

    def test_a_line_end_behind_a_request_does_not_keep_its_connection(self):
        """No request has begun, so the connection is idle."""

        async def scenario(rig):
            reader, writer = await rig.connect()
            writer.write(GET % b"1")
            await reader.readuntil(b"\r\n\r\n/1")
            writer.write(b"\r\n")
            self.assertEqual(await reader.read(), b"")
            writer.close()

        run(scenario, idle_timeout_s=0.5)

    def test_limits_are_enforced(self):
        """An oversized head or body and a slow head are refused."""

        async def scenario(rig):
            for sent, status in (
                (b"GET / HTTP/1.1\r\nX: " + b"x" * 3000, b"431"),
                (
                    b"PUT / HTTP/1.1\r\nContent-Length: 99\r\n\r\n" + b"x" * 99,
                    b"413",
                ),
                (b"GET / HTTP/1.1\r\nX", b"408"),
                (b"nonsense\r\n\r\n", b"400"),
            ):
                reader, writer = await rig.connect()
                writer.write(sent)
                text = await reader.read()
                self.assertIn(b" " + status + b" ", text[:16], sent[:30])
                self.assertEqual(rig.server.stats.refusals[int(status)], 1)
                writer.close()

        run(
            scenario,
            max_header_bytes=2000,
            max_body_bytes=50,
            header_timeout_s=0.2,
        )

    def test_an_idle_connection_is_closed_without_an_answer(self):
        """Without a request there is nothing to answer."""

        async def scenario(rig):
            reader, writer = await rig.connect()
            self.assertEqual(await reader.read(), b"")
            writer.close()

        run(scenario, idle_timeout_s=0.2)

    def test_many_pipelined_requests_are_all_answered(self):
        """Reading pauses at the limit and resumes."""

        async def scenario(rig):
            reader, writer = await rig.connect()
            count = 100
            writer.write(b"".join(GET % (b"n%03d" % n) for n in range(count)))
            text = await reader.readuntil(b"/n099")
            self.assertEqual(text.count(b"HTTP/1.1 200"), count)
            writer.close()

        run(scenario)

    def test_an_answer_that_waits_for_those_before_it_is_counted(self):
        """It was ready long before its caller could have it."""

        async def scenario(rig):
            rig.gates["/1"] = asyncio.Event()
            reader, writer = await rig.connect()
            writer.write(GET % b"1" + GET % b"2")
            await asyncio.sleep(2 * pipelined_connection.HELD_S)
            self.assertEqual(rig.server.stats.held_answers, 0)
            rig.gates["/1"].set()
            await reader.readuntil(b"/2")
            self.assertEqual(rig.server.stats.held_answers, 1)
            writer.close()

        run(scenario)

    def test_the_time_in_which_a_request_arrived_is_known(self):
        """It counts from the first byte, also if the head came in parts."""

        async def scenario(rig):
            reader, writer = await rig.connect()
            writer.write(b"PUT /1 HTTP/1.1\r\n")
            await asyncio.sleep(0.2)
            writer.write(b"Host: a\r\nContent-Length: 1\r\n\r\n")
            await asyncio.sleep(0.2)
            writer.write(b"x" + GET % b"2")
            await reader.readuntil(b"/2")
            slow, fast = rig.received
            self.assertGreaterEqual(slow.receive_s, 0.35)
            self.assertLess(fast.receive_s, 0.1)
            writer.close()

        run(scenario)

    def test_each_request_that_waits_unread_has_its_own_arrival(self):
        """One that has just arrived keeps its time; one before it does not."""

        async def scenario(rig):
            first = pipelined_connection.MAX_CONCURRENT_REQUESTS
            for number in range(first):
                rig.gates[f"/n{number}"] = asyncio.Event()
            reader, writer = await rig.connect()
            writer.write(b"".join(GET % (b"n%d" % n) for n in range(first)))
            await asyncio.sleep(0.1)
            writer.write(GET % b"early")
            await asyncio.sleep(0.4)
            writer.write(GET % b"late")
            await asyncio.sleep(0.1)
            for gate in rig.gates.values():
                gate.set()
            await reader.readuntil(b"/late")
            early, late = rig.received[first:]
            self.assertGreaterEqual(early.receive_s, 0.45)
            self.assertLess(late.receive_s, 0.35)
            writer.close()

        run(scenario)

    def test_a_request_that_waits_unread_is_not_refused_as_late(self):
        """Its client has sent all of it, but only a part of it is parsed."""

        async def scenario(rig):
            count = pipelined_connection.MAX_CONCURRENT_REQUESTS + 1
            size = 250
            requests = []
            for number in range(count):
                head = b"GET /n%d HTTP/1.1\r\nhost: a\r\nx: " % number
                requests.append(head.ljust(size - 4, b"x") + b"\r\n\r\n")
                rig.gates[f"/n{number}"] = asyncio.Event()
            reader, writer = await rig.connect()
            writer.write(b"".join(requests))
            await asyncio.sleep(2.5)
            for gate in rig.gates.values():
                gate.set()
            await reader.readuntil(b"/n%d" % (count - 1))
            writer.close()

        run(scenario, header_timeout_s=0.2)

    def test_a_stopping_server_answers_a_peer_that_sends_on(self):
        """What is no longer read must not take the answers that are owed."""

        async def scenario(rig):
            gate = rig.gates["/1"] = asyncio.Event()
            reader, writer = await rig.connect()
            writer.write(GET % b"1")
            while not rig.received:
                await asyncio.sleep(0.01)
            rig.server.finish()
            writer.write(bytes(20_000_000))
            await asyncio.sleep(0.5)
            gate.set()
            await reader.readuntil(b"/1")
            writer.close()

        run(scenario)
