"""An open link to a peer."""

import asyncio
import collections
import collections.abc
import contextlib
import logging
import math
import socket
import typing

import anyio
import anyio.abc
from websockets import exceptions as websockets_exceptions
from websockets.asyncio import connection as websockets_connection

from galenatack import exceptions
from galenatack.interfaces import clock as clock_interface
from galenatack.links import bulk_queue
from galenatack.links import envelope
from galenatack.links import fault_injector
from galenatack.links import fragment_assembler
from galenatack.links import link_purpose
from galenatack.links import message_codec
from galenatack.links import traffic_counter
from galenatack.messages import busy
from galenatack.messages import call
from galenatack.messages import cancel_call
from galenatack.messages import fragment
from galenatack.messages import heartbeat
from galenatack.messages import protocol_failure
from galenatack.model import member_record

MAX_UNSENT_BYTES = 2 * message_codec.MAX_FRAME_BYTES
"""A link with more unsent bytes is dropped; its peer reads too slowly."""

MAX_REQUEST_ID = (1 << 32) - 1

BULK_BYTES = 2 * bulk_queue.CHUNK_BYTES
"""Larger frames are sent in parts, between which other frames are sent."""

BULK_POLL_S = 0.004
"""How often a link whose buffer is full is checked while parts wait."""

TCP_NOTSENT_LOWAT = 25
UNSENT_KERNEL_BYTES = 32 * 1024
"""Limit on bytes that the kernel buffers in front of later, more urgent ones.
The constant is missing in the socket module."""

CLOSE_NORMAL = 1000
CLOSE_GOING_AWAY = 1001
CLOSE_PROTOCOL_ERROR = 1002

_LOGGER = logging.getLogger(__name__)

OnMessage = collections.abc.Callable[["PeerLink", envelope.Envelope, int], None]
"""Receives a message that is no reply, and the size of its frame in bytes."""


class PeerLink:
    """Sends frames and requests over one connection, and receives replies.

    Writes never block: the link buffers up to `MAX_UNSENT_BYTES`, then it is
    dropped. A slow peer therefore delays no other peer. Large frames are sent
    in parts, so that they delay no small ones.

    Attributes:
        record: The peer's member record, from its Hello.
        purpose: Purpose of the link.
        dialled: True if this node opened the link.
        used_s: When a frame other than a heartbeat was last sent or
            received.
        heartbeat_sent_s: When a heartbeat was last sent.
        received_s: When a frame was last received.
        serving: Number of received messages whose handlers are running.
        closed: Set once the link no longer accepts messages.
    """

    def __init__(
        self,
        *,
        connection: websockets_connection.Connection,
        record: member_record.MemberRecord,
        purpose: link_purpose.LinkPurpose,
        dialled: bool,
        clock: clock_interface.Clock,
        faults: fault_injector.FaultInjector,
        traffic: traffic_counter.TrafficCounter,
    ):
        self._connection = connection
        self.record = record
        self.purpose = purpose
        self.dialled = dialled
        self.serving = 0
        self._clock = clock
        self._faults = faults
        self._traffic = traffic
        self._delay_s = faults.delay_s(record.region)
        self._delayed: collections.deque[bytes] = collections.deque()
        self._delayed_bytes = 0
        self._bulk = bulk_queue.BulkQueue()
        self._call_parts: dict[str, int] = {}
        self._bulk_task: asyncio.Task[None] | None = None
        self._assembler = fragment_assembler.FragmentAssembler()
        self._pending: dict[int, asyncio.Future[typing.Any]] = {}
        self._last_id = 0
        self._is_planned = False
        now_s = clock.monotonic_s()
        self.used_s = self.received_s = now_s
        # The first heartbeat is due at once; it triggers anti-entropy.
        self.heartbeat_sent_s = -math.inf
        self.closed = asyncio.Event()
        _set_socket_options(connection)

    @property
    def node_id(self) -> str:
        """Node id of the peer."""
        return self.record.node_id

    @property
    def is_planned_close(self) -> bool:
        """True if either side closed the link intentionally."""
        return self._is_planned or self._connection.close_code == CLOSE_NORMAL

    @property
    def pending_requests(self) -> int:
        """Number of requests that await a reply."""
        return len(self._pending)

    def post(
        self, message: typing.Any, *, request_id: int = 0, reply_id: int = 0
    ) -> int:
        """Sends a message without waiting.

        Returns:
            Id of a message that is sent in parts, else 0.

        Raises:
            exceptions.PeerUnreachableError: The link is closed.
            exceptions.ProtocolError: The message is too large.
        """
        frame = message_codec.encode(
            message, request_id=request_id, reply_id=reply_id
        )
        after = 0
        if isinstance(message, cancel_call.CancelCall):
            # A cancellation must not overtake its call.
            after = self._call_parts.get(message.call_id, 0)
        message_id = self.post_frame(frame, type(message), after=after)
        if message_id and isinstance(message, call.Call):
            self._remember_parts(message.request.call_id, message_id)
        return message_id

    def post_frame(
        self, frame: bytes, message_type: type, *, after: int = 0
    ) -> int:
        """Sends an encoded message without waiting.

        Args:
            frame: The encoded message.
            message_type: Its type.
            after: Id of a message in parts that it must not overtake.

        Returns:
            Id of a message that is sent in parts, else 0.

        Raises:
            exceptions.PeerUnreachableError: The link is closed.
        """
        if self.closed.is_set():
            raise exceptions.PeerUnreachableError(
                f"link to {self.node_id} is closed"
            )
        if message_type is not heartbeat.Heartbeat:
            self.used_s = self._clock.monotonic_s()
        if self._faults.is_cut(self.record.data_centre):
            return 0
        self._traffic.count_sent(message_type, len(frame), self.record.region)
        if not self._delay_s:
            if len(frame) > BULK_BYTES or self._bulk.is_waiting(after):
                return self._write_in_parts(frame, after=after)
            self._write(frame)
            return 0
        self._delayed.append(frame)
        self._delayed_bytes += len(frame)
        loop = asyncio.get_running_loop()
        loop.call_later(self._delay_s, self._write_delayed)
        return 0

    async def request(
        self, message: typing.Any, *, timeout_s: float
    ) -> typing.Any:
        """Sends a request and returns its reply.

        Raises:
            exceptions.PeerUnreachableError: The request was not sent, or not
                as a whole.
            exceptions.PeerTimeoutError: No reply was received; the request
                may have run.
            exceptions.PeerBusyError: The peer refused; retry later.
        """
        self._last_id = self._last_id % MAX_REQUEST_ID + 1
        request_id = self._last_id
        future = asyncio.get_running_loop().create_future()
        self._pending[request_id] = future
        message_id = 0
        reply = None
        try:
            message_id = self.post(message, request_id=request_id)
            with anyio.move_on_after(timeout_s):
                reply = await future
        finally:
            self._pending.pop(request_id, None)
            is_incomplete = self._bulk.discard(message_id)
        if is_incomplete:
            raise exceptions.PeerUnreachableError(
                f"request to {self.node_id} was sent only in part"
            )
        if future.done() and not future.cancelled():
            return _unwrap_reply(reply)
        raise exceptions.PeerTimeoutError(
            f"no reply from {self.node_id} in {timeout_s:.3f} s"
        )

    async def run(self, on_message: OnMessage) -> None:
        """Reads frames until the connection is closed."""
        try:
            async for frame in self._connection:
                self._receive(frame, on_message)
        except exceptions.ProtocolError as error:
            await self._refuse(error)
        except websockets_exceptions.ConnectionClosed:
            pass
        finally:
            self._finish()

    def close_soon(self, tasks: anyio.abc.TaskGroup) -> None:
        """Closes the link intentionally; the handshake runs in a task."""
        if self._is_planned or self.closed.is_set():
            return
        self._is_planned = True
        # Later messages go over another link.
        self.closed.set()
        tasks.start_soon(self._connection.close, CLOSE_NORMAL)

    async def close_going_away(self) -> None:
        """Closes the link because this node stops.

        Unlike `abort`, it delivers the messages posted before.
        """
        self.closed.set()
        await self._connection.close(CLOSE_GOING_AWAY)

    def abort(self) -> None:
        """Drops the connection without a closing handshake."""
        self._connection.transport.abort()
        self._finish()

    def _receive(self, frame: bytes | str, on_message: OnMessage) -> None:
        if self._faults.is_cut(self.record.data_centre):
            return
        received = message_codec.decode(frame)
        if isinstance(received.message, fragment.Fragment):
            self.used_s = self.received_s = self._clock.monotonic_s()
            frame = self._assembler.add(received.message)
            if frame is None:
                return
            received = message_codec.decode(frame)
        kind = type(received.message)
        self._traffic.count_received(kind, len(frame), self.record.region)
        self.received_s = self._clock.monotonic_s()
        if kind is not heartbeat.Heartbeat:
            self.used_s = self.received_s
        if not received.reply_id:
            on_message(self, received, len(frame))
            return
        future = self._pending.get(received.reply_id)
        if future is not None and not future.done():
            future.set_result(received.message)

    async def _refuse(self, error: exceptions.ProtocolError) -> None:
        failure = protocol_failure.ProtocolFailure(error.code, str(error))
        with contextlib.suppress(exceptions.PeerUnreachableError):
            self.post(failure)
        # The failure is sent before the close frame.
        await self._connection.close(CLOSE_PROTOCOL_ERROR)

    def _write_delayed(self) -> None:
        # Timers with equal deadlines may fire in any order, so each sends the
        # oldest frame.
        frame = self._delayed.popleft()
        self._delayed_bytes -= len(frame)
        cut = self._faults.is_cut(self.record.data_centre)
        if not self.closed.is_set() and not cut:
            self._write(frame)

    def _write(self, frame: bytes) -> None:
        websockets_connection.broadcast((self._connection,), frame)
        unsent = self._connection.transport.get_write_buffer_size()
        unsent += self._bulk.unsent_bytes
        if unsent + self._delayed_bytes > MAX_UNSENT_BYTES:
            self.abort()

    def _remember_parts(self, call_id: str, message_id: int) -> None:
        """Keeps which message in parts is which call, while any is unsent."""
        self._call_parts = {
            known: parts
            for known, parts in self._call_parts.items()
            if self._bulk.is_waiting(parts)
        }
        self._call_parts[call_id] = message_id

    def _write_in_parts(self, frame: bytes, *, after: int) -> int:
        message_id = self._bulk.add(frame, after=after)
        if self._bulk.unsent_bytes > MAX_UNSENT_BYTES:
            self.abort()
        elif self._bulk_task is None or self._bulk_task.done():
            self._bulk_task = asyncio.create_task(self._send_parts())
        return message_id

    async def _send_parts(self) -> None:
        """Sends parts as the connection accepts them, small frames first."""
        transport = self._connection.transport
        while not self.closed.is_set():
            if transport.get_write_buffer_size() >= bulk_queue.CHUNK_BYTES:
                await asyncio.sleep(BULK_POLL_S)
                continue
            part = self._bulk.take()
            if part is None:
                return
            self._write(message_codec.encode(part))
            await asyncio.sleep(0)

    def _finish(self) -> None:
        self.closed.set()
        for future in self._pending.values():
            if not future.done():
                future.set_result(None)


def _unwrap_reply(reply: typing.Any) -> typing.Any:
    if isinstance(reply, busy.Busy):
        raise exceptions.PeerBusyError(
            "peer is busy", retry_after_ms=reply.retry_after_ms
        )
    if reply is None:
        raise exceptions.PeerTimeoutError("link lost before the reply")
    if isinstance(reply, protocol_failure.ProtocolFailure):
        raise exceptions.PeerTimeoutError(f"peer failed: {reply.detail}")
    return reply


def _set_socket_options(connection: websockets_connection.Connection) -> None:
    raw = connection.transport.get_extra_info("socket")
    if raw is None:
        return
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        raw.setsockopt(
            socket.IPPROTO_TCP, TCP_NOTSENT_LOWAT, UNSENT_KERNEL_BYTES
        )
    except OSError as error:
        # Only costs latency of small frames behind large ones.
        _LOGGER.debug("event=socket-option-refused error=%s", error)
