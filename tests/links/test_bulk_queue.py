"""Tests of large messages that are sent in parts."""

import asyncio
import unittest

from galenatack import exceptions
from galenatack.links import bulk_queue
from galenatack.links import fragment_assembler
from galenatack.links import link_purpose
from galenatack.links import message_codec
from galenatack.links import peer_link
from galenatack.links import traffic_counter
from galenatack.messages import fragment
from galenatack.messages import heartbeat
from tests.fakes import member_records
from tests.fakes import virtual_loop
from tests.links import loopback

CHUNK_BYTES = bulk_queue.CHUNK_BYTES


class TestBulkQueue(unittest.TestCase):
    def setUp(self):
        self.queue = bulk_queue.BulkQueue()

    def take_all(self):
        """Returns all parts in the order in which they are sent."""
        return list(iter(self.queue.take, None))

    def test_frames_take_turns(self):
        """A long frame does not delay a shorter one by its whole length."""
        long = self.queue.add(bytes(10 * CHUNK_BYTES))
        short = self.queue.add(bytes(CHUNK_BYTES + 1))
        order = [part.message_id for part in self.take_all()]
        self.assertEqual(order[:4], [long, short, long, short])
        self.assertEqual(order.count(long), 10)
        self.assertEqual(self.queue.unsent_bytes, 0)

    def test_a_cancellation_waits_for_its_call_only(self):
        """Behind the uploads of other callers it would come too late."""
        upload = self.queue.add(bytes(20 * CHUNK_BYTES))
        call = self.queue.add(bytes(3 * CHUNK_BYTES))
        cancel = self.queue.add(b"cancel", after=call)
        order = [part.message_id for part in self.take_all()]
        last_of_call = len(order) - order[::-1].index(call) - 1
        self.assertGreater(order.index(cancel), last_of_call)
        self.assertLessEqual(order.index(cancel), last_of_call + 2)
        self.assertEqual(order[-1], upload)

    def test_a_discarded_frame_is_never_complete(self):
        """Only then may its call be reported as not run."""
        message_id = self.queue.add(bytes(3 * CHUNK_BYTES))
        parts = [self.queue.take(), self.queue.take()]
        self.assertTrue(self.queue.discard(message_id))
        parts += self.take_all()
        self.assertFalse(any(part.is_last for part in parts))
        self.assertEqual(self.queue.unsent_bytes, 0)
        self.assertFalse(self.queue.discard(message_id))

    def test_a_frame_that_was_sent_cannot_be_discarded(self):
        """The peer may have run its call."""
        message_id = self.queue.add(b"x")
        self.take_all()
        self.assertFalse(self.queue.discard(message_id))


class TestFragmentAssembler(unittest.TestCase):
    def test_frames_are_joined(self):
        """Parts of several frames may be mixed."""
        queue = bulk_queue.BulkQueue()
        frames = [bytes([n]) * (n * CHUNK_BYTES + 5) for n in range(1, 5)]
        for frame in frames:
            queue.add(frame)
        assembler = fragment_assembler.FragmentAssembler()
        joined = [assembler.add(part) for part in iter(queue.take, None)]
        self.assertEqual([f for f in joined if f is not None], frames)
        self.assertEqual(assembler.partial_bytes, 0)

    def test_parts_without_end_are_refused(self):
        """The memory for one frame is bounded."""
        assembler = fragment_assembler.FragmentAssembler()
        part = fragment.Fragment(1, bytes(1_000_000), False)
        with self.assertRaises(exceptions.ProtocolError):
            for _ in range(message_codec.MAX_FRAME_BYTES // 1_000_000 + 1):
                assembler.add(part)

    def test_frames_without_end_are_bounded(self):
        """The oldest incomplete frames are dropped."""
        assembler = fragment_assembler.FragmentAssembler()
        for message_id in range(1000):
            assembler.add(fragment.Fragment(message_id, bytes(100_000), False))
        self.assertLessEqual(
            assembler.partial_bytes, fragment_assembler.MAX_PARTIAL_BYTES
        )


class SlowTransport:
    """A transport that sends some bytes a second."""

    def __init__(self, bytes_per_s):
        self._bytes_per_s = bytes_per_s
        self._buffered = 0
        self.sent = []

    def get_extra_info(self, name):
        """Returns nothing: there is no socket."""

    def get_write_buffer_size(self):
        """Returns the bytes that wait."""
        return self._buffered

    def write(self, frame):
        """Buffers a frame and records when its last byte is sent."""
        self._buffered += len(frame)
        loop = asyncio.get_running_loop()
        loop.call_later(self._buffered / self._bytes_per_s, self._sent, frame)

    def _sent(self, frame):
        self._buffered -= len(frame)
        now_s = asyncio.get_running_loop().time()
        self.sent.append((now_s, message_codec.decode(frame).message))

    def abort(self):
        """Does nothing."""


class TestSlowLink(unittest.TestCase):
    def test_heartbeats_pass_uploads(self):
        """Ten uploads of 360 KB need six seconds at 5 Mbit/s.

        A link that is silent for two seconds is closed, and small calls must
        not wait for uploads: at most 50 ms here.
        """

        async def main():
            transport = SlowTransport(5e6 / 8)
            link = make_link(transport)
            for _ in range(10):
                link.post(loopback.call_message(bytes(360_000)))
            asked_s = []
            for _ in range(20):
                await asyncio.sleep(0.2)
                asked_s.append(asyncio.get_running_loop().time())
                link.post(heartbeat.Heartbeat(0, 0, 0))
            await asyncio.sleep(5.0)
            arrived_s = [
                time_s
                for time_s, message in transport.sent
                if isinstance(message, heartbeat.Heartbeat)
            ]
            for posted_s, received_s in zip(asked_s, arrived_s, strict=True):
                self.assertLess(received_s - posted_s, 0.05)
            parts = [
                message
                for _, message in transport.sent
                if isinstance(message, fragment.Fragment)
            ]
            self.assertEqual(sum(part.is_last for part in parts), 10)

        virtual_loop.run(main)

    def test_a_request_that_was_sent_in_part_has_not_run(self):
        """Its timeout is reported as not sent, and the rest is dropped."""

        async def main():
            transport = SlowTransport(50_000)
            link = make_link(transport)
            with self.assertRaises(exceptions.PeerUnreachableError):
                await link.request(
                    loopback.call_message(bytes(360_000)), timeout_s=1.0
                )
            await asyncio.sleep(10.0)
            self.assertFalse(any(m.is_last for _, m in transport.sent))

        virtual_loop.run(main)


class StubConnection:
    """The part of a connection that a link writes to."""

    def __init__(self, transport):
        self.transport = transport


class WritingLink(peer_link.PeerLink):
    """A link that writes frames without the websocket protocol."""

    def _write(self, frame):
        self._connection.transport.write(frame)


def make_link(transport):
    """Returns a link over a transport."""
    record = member_records.build("a1-1")
    return WritingLink(
        connection=StubConnection(transport),
        record=record,
        purpose=link_purpose.LinkPurpose.CALLS,
        dialled=True,
        clock=virtual_loop.LoopClock(),
        faults=peer_link.fault_injector.FaultInjector(own_region=record.region),
        traffic=traffic_counter.TrafficCounter(own_region=record.region),
    )
