"""Tests of the handshake and of refused frames."""

import unittest

import anyio
import anyio.lowlevel
import websockets.asyncio.client
import websockets.asyncio.server
import websockets.exceptions

from galenatack import exceptions
from galenatack.links import fault_injector
from galenatack.links import handshake
from galenatack.links import link_purpose
from galenatack.links import message_codec
from galenatack.messages import busy
from galenatack.messages import delta
from galenatack.messages import hello
from galenatack.messages import protocol_failure
from galenatack.model import entry
from tests.fakes import member_records
from tests.links import loopback

CLOSE_TOO_BIG = 1009
"""Close code of websockets for a frame above the limit."""


class TestHandshake(unittest.TestCase):
    def _answers(self, first_frame):
        async def scenario(tasks):
            node = await loopback.Node("a1-0").start(tasks)
            async with loopback.connect(node) as connection:
                await connection.send(first_frame)
                answer = await loopback.receive(connection)
                if not isinstance(answer, hello.Hello):
                    await connection.wait_closed()
                return answer, connection.close_code, len(node.table.live())

        return loopback.run(scenario)

    def test_refusals(self):
        """A refused peer gets the reason and a close."""
        frames = [
            ("deployment", loopback.hello_frame(deployment="other")),
            (
                "protocol-version",
                loopback.hello_frame(protocol=9, oldest_protocol=9),
            ),
            (
                "protocol-version",
                loopback.hello_frame(protocol=0, oldest_protocol=0),
            ),
            ("self", loopback.hello_frame(record=member_records.build("a1-0"))),
            ("protocol", loopback.hello_frame(purpose="other")),
            ("protocol", message_codec.encode(busy.Busy(1))),
        ]
        for code, frame in frames:
            with self.subTest(code, frame=frame):
                answer, close_code, members = self._answers(frame)
                self.assertIsInstance(answer, protocol_failure.ProtocolFailure)
                self.assertEqual((answer.code, close_code), (code, 1002))
                self.assertEqual(members, 1)

    def test_bad_first_frame(self):
        """A first frame that is not a message is refused in the same way."""
        answer, close_code, _ = self._answers(b"\xff")
        self.assertEqual((answer.code, close_code), ("protocol", 1002))

    def test_accepts_newer_release(self):
        """A newer peer that still supports this protocol is accepted."""
        answer, _, _ = self._answers(loopback.hello_frame(protocol=9))
        self.assertEqual(answer.record.node_id, "a1-0")

    def test_nodes_of_two_deployments(self):
        """A seed in another deployment does not join the two deployments."""

        async def scenario(tasks):
            first = await loopback.Node("a1-0").start(tasks)
            seeds = (first.record.peer_address,)
            second = loopback.Node("a1-1", seeds=seeds, deployment="other")
            await second.start(tasks)
            with self.assertRaises(exceptions.ProtocolError):
                await second.peers._opener.open_address(seeds[0])
            return len(first.table.live()), len(second.table.live())

        self.assertEqual(loopback.run(scenario), (1, 1))


class TestProtocolVersions(unittest.TestCase):
    def _connect(self, dialling, accepting):
        """Returns the versions both sides receive; ranges are (old, new)."""
        results = []

        async def accept(connection):
            try:
                peer_hello = await _handshake("a1-0", accepting).accept(
                    connection, record=member_records.build("a1-0")
                )
                results.append(peer_hello.protocol)
            except exceptions.ProtocolError as error:
                results.append(str(error))
            await connection.wait_closed()

        async def scenario(tasks):
            del tasks
            listener = websockets.asyncio.server.serve(accept, "127.0.0.1", 0)
            async with listener as server:
                host, port = server.sockets[0].getsockname()
                address = f"ws://{host}:{port}"
                connect = websockets.asyncio.client.connect
                async with connect(address, proxy=None) as connection:
                    peer_hello = await _handshake("a1-1", dialling).dial(
                        connection,
                        record=member_records.build("a1-1"),
                        purpose=link_purpose.LinkPurpose.OVERLAY,
                    )
                    results.append(peer_hello.protocol)

        loopback.run(scenario)
        return results

    def test_overlapping_ranges(self):
        """An old and a new release connect, whichever of them dials."""
        self.assertEqual(self._connect((1, 1), (1, 2)), [1, 2])
        self.assertEqual(self._connect((1, 2), (1, 1)), [2, 1])

    def test_separate_ranges(self):
        """Releases without a common version refuse each other."""
        for dialling, accepting in (((1, 1), (2, 3)), ((2, 3), (1, 1))):
            with self.assertRaisesRegex(
                exceptions.ProtocolError, "protocol-version"
            ):
                self._connect(dialling, accepting)


def _handshake(own_id, versions):
    oldest, newest = versions
    return handshake.Handshake(
        deployment=loopback.DEPLOYMENT,
        own_id=own_id,
        faults=fault_injector.FaultInjector(
            enabled=False, own_region="a", region_delay_ms=0
        ),
        protocol=newest,
        oldest_protocol=oldest,
    )


class TestFrames(unittest.TestCase):
    def _after_hello(self, frame):
        async def scenario(tasks):
            node = await loopback.Node("a1-0").start(tasks)
            async with loopback.connect(node) as connection:
                await connection.send(loopback.hello_frame())
                answers = [await loopback.receive(connection)]
                try:
                    await connection.send(frame)
                    while True:
                        answers.append(await loopback.receive(connection))
                except websockets.exceptions.ConnectionClosed:
                    return answers, connection.close_code

        return loopback.run(scenario)

    def test_bad_frame(self):
        """A bad frame is answered with ProtocolFailure and a close."""
        answers, close_code = self._after_hello(b"\x81\x00")
        self.assertIsInstance(answers[-1], protocol_failure.ProtocolFailure)
        self.assertEqual(close_code, 1002)

    def test_big_frame(self):
        """An oversized frame is refused as soon as its length is read."""
        length = message_codec.MAX_FRAME_BYTES + 1

        async def scenario(tasks):
            node = await loopback.Node("a1-0").start(tasks)
            async with loopback.connect(node) as connection:
                await connection.send(loopback.hello_frame())
                await loopback.receive(connection)
                # Sends only the header of a masked binary frame: the node must
                # not wait for the payload.
                header = b"\x82\xff" + length.to_bytes(8, "big") + bytes(4)
                connection.transport.write(header)
                await connection.wait_closed()
                return connection.close_code

        self.assertEqual(loopback.run(scenario), CLOSE_TOO_BIG)

    def test_second_hello(self):
        """A peer cannot change its identity on an open link."""
        answers, close_code = self._after_hello(loopback.hello_frame())
        self.assertIsInstance(answers[-1], protocol_failure.ProtocolFailure)
        self.assertEqual(close_code, 1002)

    def test_slow_peer_is_dropped(self):
        """A peer that does not read is dropped; its buffer is bounded."""

        async def scenario(tasks):
            node = await loopback.Node("a1-0").start(tasks)
            body = bytes(1 << 20)
            big = delta.Delta(0, 1, (entry.Entry("p", 1, 1, "", body),), None)
            async with loopback.connect(node) as connection:
                await connection.send(loopback.hello_frame(purpose="overlay"))
                connection.transport.pause_reading()
                await loopback.until(lambda: bool(node.peers.neighbours()))
                sent = 0
                while node.peers.neighbours():
                    await node.peers.broadcast(big)
                    await anyio.lowlevel.checkpoint()
                    sent += 1
                connection.transport.abort()
                return sent

        self.assertLess(loopback.run(scenario), 64)
