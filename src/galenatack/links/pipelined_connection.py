"""An HTTP/1.1 connection that runs pipelined requests concurrently."""

import asyncio
import collections
import collections.abc
import logging
import typing

from galenatack import exceptions
from galenatack.clients import client_account
from galenatack.clients import connection_holding
from galenatack.clients import connection_slots
from galenatack.clients import request_size
from galenatack.links import connection_limits
from galenatack.links import connection_stats
from galenatack.links import exchange as exchange_module
from galenatack.links import http_request
from galenatack.links import http_response
from galenatack.links import large_bodies as large_bodies_module
from galenatack.links import request_reader
from galenatack.links import request_turns

_LOGGER = logging.getLogger(__name__)

MAX_CONCURRENT_REQUESTS = 16
"""Maximum concurrent requests of one connection. Others wait, unparsed but for
those of the same piece."""

MAX_UNSENT_BYTES = 1_000_000
"""Reading from a peer pauses while more bytes than this are unsent to it."""

UNREAD_PIECE_BYTES = 128
"""What one kept read takes beside its bytes, so that tiny ones count."""

MAX_UNREAD_BYTES = 262_144
"""Bytes read ahead while `MAX_CONCURRENT_REQUESTS` requests run."""

MIN_DISCARDED_BYTES = 1_000_000
DISCARDED_BODIES = 2
"""Limit on bytes that are read and dropped before a connection closes, in
bodies of the largest size. A peer whose body is refused at its head reads the
answer only after it has sent the rest."""

MAX_TOTAL_UNSENT_BYTES = 48_000_000
"""Limit on the answers that wait on all connections of a listener. Beyond it,
the connection with most of them is closed: its peer does not read."""

HELD_S = 0.5
"""An answer that waits longer for those before it is counted and logged."""

LINGER_S = 1.0
"""Delay before closing after the last answer.

Closing at once would send a reset to a peer that is still sending a refused
request, and the peer would lose the answer.
"""

MAX_LOGGED_CHARACTERS = 100
MS_PER_S = 1000

RETRY_AFTER_S = "0.5"
"""Time after which a client may come back that was refused for want of memory.
The requests of a crowd end or are refused within about this time."""

REQUEST_TIMEOUT = 408
INTERNAL_ERROR = 500
UNAVAILABLE = 503
BAD_GATEWAY = 502
_NO_ROOM = http_response.HttpResponse(
    UNAVAILABLE, (("retry-after", RETRY_AFTER_S),)
)
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

Respond = collections.abc.Callable[
    [http_request.HttpRequest],
    collections.abc.Awaitable[http_response.HttpResponse],
]


TimeLimit = collections.abc.Callable[[http_request.HttpRequest], float | None]
"""Returns from its head how long a request may take, in seconds; None if that
is not known."""


class PipelinedConnection(asyncio.BufferedProtocol):
    """Reads requests ahead, runs them concurrently and answers in order.

    Args:
        respond: Answers a request; cancelled when the peer disconnects.
        time_limit: Limits the time to receive a request.
        limits: Limits; changes apply to open connections.
        connections: Open connections; this one adds and removes itself.
        read_buffer: Receives the bytes of one read. Connections can share it,
            as its bytes are taken before the next read.
        large_bodies: Limits the long requests that are received at a time.
        stats: Counts what happens to requests.
        account: Counts the memory that clients hold.
        slots: Limits the number of connections.
        turns: Turns in which requests begin.

    Attributes:
        has_served: True once a whole request was received.
        last_active_s: When something was last received or answered.
    """

    def __init__(
        self,
        *,
        respond: Respond,
        time_limit: TimeLimit,
        limits: connection_limits.ConnectionLimits,
        connections: "set[PipelinedConnection]",
        read_buffer: bytearray,
        large_bodies: large_bodies_module.LargeBodies,
        stats: connection_stats.ConnectionStats,
        account: client_account.ClientAccount,
        slots: connection_slots.ConnectionSlots,
        turns: request_turns.RequestTurns,
    ):
        self._respond = respond
        self._time_limit = time_limit
        self._limits = limits
        self._connections = connections
        self._read_buffer = read_buffer
        self._large_bodies = large_bodies
        self._stats = stats
        self._account = account
        self._slots = slots
        self._turns = turns
        self._holding = connection_holding.ConnectionHolding(
            account=account, on_shed=self._shed
        )
        self.has_served = False
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._reader = request_reader.RequestReader(
            limits=limits,
            on_request=self._run,
            on_refused=self._refuse,
            on_continue=self._send_continue,
        )
        self._unread: collections.deque[tuple[float, bytes]] = (
            collections.deque()
        )
        self._unread_bytes = 0
        self._discarded_bytes = 0
        self._has_discarded_all = False
        self._pending: collections.deque[exchange_module.Exchange] = (
            collections.deque()
        )
        self._waiting: collections.deque[exchange_module.Exchange] = (
            collections.deque()
        )
        self._waiting_bytes = 0
        self._running = 0
        self._is_draining = False
        self._is_finishing = False
        self._is_writing_paused = False
        self._has_room = True
        self._has_yielded = False
        self._is_reading_paused = False
        self.last_active_s = self._loop.time()
        self._request_began_s: float | None = None
        self._fed_since_s = self.last_active_s
        self._request_timer: asyncio.TimerHandle | None = None

    @property
    def is_idle(self) -> bool:
        """True if no request is being received or awaits its answer."""
        return not self._pending and self._request_began_s is None

    @property
    def unanswered(self) -> int:
        """Number of requests that await their answers."""
        return len(self._pending)

    @property
    def unsent_bytes(self) -> int:
        """Bytes of answers that the peer has not taken."""
        return self._transport.get_write_buffer_size() + sum(
            len(exchange.response.body)
            for exchange in self._pending
            if exchange.response is not None
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and registers the connection."""
        self._transport = typing.cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        if not self._slots.make_room(self._connections):
            self.abort()
            return
        self._connections.add(self)
        self._update_held()

    def get_buffer(self, sizehint: int) -> bytearray:
        """Returns the buffer for the next read."""
        del sizehint
        return self._read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Feeds received bytes to the reader, or buffers them."""
        data = bytes(memoryview(self._read_buffer)[:nbytes])
        if not self._reader.is_open:
            self._discard(data)
            return
        self.last_active_s = self._loop.time()
        if self._request_began_s is None:
            self._request_began_s = self.last_active_s
        if self._unread or self._is_full():
            # Bytes that were kept before go first.
            self._unread.append((self.last_active_s, data))
            self._unread_bytes += nbytes + UNREAD_PIECE_BYTES
            self._process_unread()
        else:
            self._feed(data, arrived_s=self.last_active_s)
        self._update_held()
        if nbytes == len(self._read_buffer):
            self._yield_turn()

    def eof_received(self) -> None:
        """Cancels the requests; the transport then closes itself."""
        self._cancel_pending()

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregisters the connection and cancels its requests."""
        del exc
        self._connections.discard(self)
        self._stop_request_timer()
        self._cancel_pending()
        self._large_bodies.release(self)
        self._reader.detach()
        self._unread.clear()
        self._unread_bytes = 0
        self._holding.update_closed()
        self._holding.detach()

    def pause_writing(self) -> None:
        """Pauses reading while the peer does not read."""
        self._is_writing_paused = True
        self._update_reading()

    def resume_writing(self) -> None:
        """Resumes reading."""
        self._is_writing_paused = False
        if not self._transport.is_closing():
            self._update_reading()
            self._process_unread()

    def pause(self) -> None:
        """Stops reading until there is room for a long request."""
        self._has_room = False
        self._update_reading()

    def resume(self) -> None:
        """Goes on reading."""
        self._has_room = True
        self._update_reading()

    def drain(self) -> None:
        """Closes the connection after an answer that leaves none pending."""
        self._is_draining = True

    def finish(self) -> None:
        """Answers the requests that have begun to arrive, then closes.

        Nothing more is read: a peer that always has a request in flight
        would otherwise keep the connection open for ever.
        """
        self._is_draining = True
        self._is_finishing = True
        if not self._reader.has_begun:
            self._stop_reading()
            if not self._pending:
                self._transport.close()

    def abort(self) -> None:
        """Drops the connection and the answers that wait on it."""
        self._connections.discard(self)
        self._holding.is_ending = True
        self._transport.abort()
        self._cancel_pending()

    def check_time(self, now_s: float) -> None:
        """Closes an idle connection, or one that sends a head too slowly."""
        self._update_held()
        limits = self._limits
        if self._is_read_later:
            return
        if self._request_began_s is not None and not self._reader.has_head:
            if now_s - self._request_began_s > limits.header_timeout_s:
                self._refuse_late("head", limits.header_timeout_s)
        elif (
            self.is_idle and now_s - self.last_active_s > limits.idle_timeout_s
        ):
            self._transport.close()

    def _feed(self, data: bytes, *, arrived_s: float) -> None:
        self._fed_since_s = arrived_s
        for start in range(0, len(data), request_reader.MAX_PARSED_BYTES):
            if self._is_full():
                self._keep_unread(arrived_s, data[start:])
                break
            end = start + request_reader.MAX_PARSED_BYTES
            self._reader.feed(data[start:end])
        if not self._reader.is_open:
            return
        if not self._reader.has_begun:
            self._request_began_s = None
        elif self._request_began_s is None:
            self._request_began_s = arrived_s
        if self._reader.has_head and self._reader.has_begun:
            if not self._is_read_later:
                self._start_request_timer()
            if self._reader.body_bytes > large_bodies_module.FREE_BYTES:
                self._large_bodies.claim(self, self._max_request_bytes())

    def _keep_unread(self, arrived_s: float, data: bytes) -> None:
        """Keeps bytes that are parsed before all others that were kept."""
        self._unread.appendleft((arrived_s, data))
        self._unread_bytes += len(data) + UNREAD_PIECE_BYTES

    def _max_request_bytes(self) -> int:
        """Returns the size that the body being received may reach."""
        limit_bytes = self._limits.max_body_bytes
        for name, value in self._reader.head().headers:
            if name == "content-length" and value.isdecimal():
                return min(int(value), limit_bytes)
        return limit_bytes

    def _start_request_timer(self) -> None:
        """Limits the time until the rest of a request is received."""
        if self._request_timer is not None:
            return
        limit_s = self._time_limit(self._reader.head())
        if limit_s is None:
            limit_s = self._limits.request_timeout_s
        self._request_timer = self._loop.call_at(
            self._request_began_s + limit_s, self._refuse_late, "body", limit_s
        )

    def _stop_request_timer(self) -> None:
        if self._request_timer is not None:
            self._request_timer.cancel()
            self._request_timer = None

    def _refuse_late(self, part: str, limit_s: float) -> None:
        """Refuses a request of which a part did not arrive in time."""
        _LOGGER.info(
            "event=request-refused status=%d detail=%r",
            REQUEST_TIMEOUT,
            f"no whole {part} in {limit_s:g} s",
        )
        self._reader.close()
        self._refuse(REQUEST_TIMEOUT)

    def _is_full(self) -> bool:
        return (
            self._is_writing_paused
            or len(self._pending) >= MAX_CONCURRENT_REQUESTS
            or self._waits_for_turn()
        )

    @property
    def _is_read_later(self) -> bool:
        """True if the rest of a request may be here, behind those that run."""
        return bool(self._unread and self._pending)

    def _waits_for_turn(self) -> bool:
        """Returns whether one request at a time is run, to save memory."""
        return bool(self._pending) and self._account.is_tight

    def _update_held(self) -> None:
        """Tells the account what this connection makes the node keep."""
        if self._holding.is_ending:
            self._holding.update_closed()
            return
        self._holding.update(
            waiting_bytes=self._reader.held_bytes
            + self._unread_bytes
            + self._waiting_bytes,
            unsent_bytes=self.unsent_bytes,
        )

    def _shed(self) -> None:
        """Frees memory: requests that have not begun to run are refused.

        A refusal closes the connection, so one stands for all of them.
        """
        if self._reader.is_open and self._holding.is_mostly_waiting:
            self._drop_waiting()
            self._refuse_with(_NO_ROOM)
        else:
            self.abort()
        self._update_held()

    def _yield_turn(self) -> None:
        """Lets other connections be read before more is read from this one.

        While reads fill the buffer, the event loop would go on reading from
        the same connection, up to 32 times.
        """
        if self._has_yielded or self._transport.is_closing():
            return
        self._has_yielded = True
        self._update_reading()
        self._loop.call_soon(self._take_turn)

    def _take_turn(self) -> None:
        self._has_yielded = False
        # What made this connection wait may have ended meanwhile.
        if not self._transport.is_closing():
            self._process_unread()

    def _discard(self, data: bytes) -> None:
        """Drops bytes behind the last request, up to a limit."""
        self._discarded_bytes += len(data)
        limit_bytes = DISCARDED_BODIES * self._limits.max_body_bytes
        if self._discarded_bytes <= max(MIN_DISCARDED_BYTES, limit_bytes):
            return
        if self._pending:
            # To close the connection now would take the answers that it owes
            # from its peer. It closes after them.
            self._has_discarded_all = True
            self._update_reading()
        else:
            self._transport.abort()

    def _update_reading(self) -> None:
        """Reads while what is received can be kept and answered."""
        if self._transport.is_closing():
            return
        is_paused = (
            self._is_writing_paused
            or self._has_yielded
            or not self._has_room
            or self._has_discarded_all
            or self._unread_bytes > MAX_UNREAD_BYTES
            or (self._unread_bytes > 0 and self._waits_for_turn())
        )
        if is_paused == self._is_reading_paused:
            return
        self._is_reading_paused = is_paused
        if is_paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _process_unread(self) -> None:
        """Parses bytes that were buffered while too many requests ran."""
        while self._unread and not self._is_full() and self._reader.is_open:
            arrived_s, data = self._unread.popleft()
            self._unread_bytes -= len(data) + UNREAD_PIECE_BYTES
            self._feed(data, arrived_s=arrived_s)
        self._update_reading()

    def _run(
        self, request: http_request.HttpRequest, *, keeps_alive: bool
    ) -> None:
        began_s = self._request_began_s
        if began_s is None:
            began_s = self._fed_since_s
        exchange = exchange_module.Exchange(
            request,
            began_s=began_s,
            keeps_alive=keeps_alive and not self._is_finishing,
        )
        self._request_began_s = None
        self._stop_request_timer()
        self._pending.append(exchange)
        self.has_served = True
        if self._is_finishing:
            self._stop_reading()
        self._waiting.append(exchange)
        self._waiting_bytes += request_size.of_waiting(
            request.target, request.headers, request.body
        )
        self._turns.add(self)

    def begin_next(self) -> bool:
        """Begins the next request; returns whether a further one may begin."""
        if not self._may_begin():
            return False
        exchange = self._waiting.popleft()
        request, exchange.request = exchange.request, None
        parts = (request.target, request.headers, request.body)
        self._waiting_bytes -= request_size.of_waiting(*parts)
        running_bytes = request_size.of_running(*parts)
        if not self._holding.begin(running_bytes):
            self._refuse_whole(exchange)
            return False
        request = request._replace(
            receive_s=self._loop.time() - exchange.began_s
        )
        self._running += 1
        exchange.task = self._loop.create_task(self._answer(exchange, request))
        exchange.task.add_done_callback(
            lambda done: self._end_running(exchange, running_bytes)
        )
        self._update_held()
        return self._may_begin()

    def _may_begin(self) -> bool:
        """Returns whether the next request may begin."""
        if not self._waiting or self._transport.is_closing():
            return False
        limit = 1 if self._account.is_tight else MAX_CONCURRENT_REQUESTS
        return self._running < limit

    def _refuse_whole(self, exchange: exchange_module.Exchange) -> None:
        """Refuses a request that has no room to run, and reads no more."""
        self._stats.refusals[UNAVAILABLE] += 1
        self._waiting.appendleft(exchange)
        self._drop_waiting()
        self._pending.append(exchange)
        exchange.keeps_alive = False
        exchange.response = _NO_ROOM
        exchange.ready_s = self._loop.time()
        self._stop_reading()
        # The parser is still busy with the bytes behind the request.
        self._loop.call_soon(self._flush)

    def _drop_waiting(self) -> None:
        """Forgets the requests that have not begun, and what is behind them."""
        if self._waiting:
            first = self._waiting[0]
            while self._pending.pop() is not first:
                pass
        self._waiting.clear()
        self._waiting_bytes = 0
        self._turns.remove(self)

    def _end_running(
        self, exchange: exchange_module.Exchange, running_bytes: int
    ) -> None:
        # A cancelled task refers to the exchange by its traceback: without
        # this cycle, the memory of the request is free at once.
        exchange.task = None
        self._running -= 1
        self._holding.end(running_bytes)
        self._update_held()
        if self._waiting:
            self._turns.add(self)

    def _send_continue(self) -> None:
        # While an earlier answer is pending, the peer would take this for it.
        if not self._pending:
            self._transport.write(CONTINUE)

    async def _answer(
        self,
        exchange: exchange_module.Exchange,
        request: http_request.HttpRequest,
    ) -> None:
        try:
            exchange.response = await self._respond(request)
        except Exception:
            # A bug in one request must not fail the others.
            _LOGGER.exception("event=request-failed target=%s", request.target)
            exchange.response = http_response.HttpResponse(INTERNAL_ERROR)
        exchange.ready_s = self._loop.time()
        self._flush()
        if self.unsent_bytes > MAX_UNSENT_BYTES:
            self._limit_total_unsent()

    def _limit_total_unsent(self) -> None:
        """Closes connections while more is unsent than the listener may keep.

        Memory is shared: callers that do not read would take it from others.
        """
        by_connection = {
            connection: connection.unsent_bytes
            for connection in self._connections
        }
        total_bytes = sum(by_connection.values())
        while total_bytes > MAX_TOTAL_UNSENT_BYTES:
            slowest = max(by_connection, key=by_connection.__getitem__)
            unsent_bytes = by_connection.pop(slowest)
            total_bytes -= unsent_bytes
            self._stats.dropped_peers += 1
            _LOGGER.warning(
                "event=caller-dropped unsent_bytes=%d requests=%d",
                unsent_bytes,
                len(slowest._pending),
            )
            slowest.abort()

    def _flush(self) -> None:
        """Sends the available answers that are next in order."""
        while self._pending and self._pending[0].response is not None:
            if self._transport.is_closing():
                return
            exchange = self._pending.popleft()
            self.last_active_s = self._loop.time()
            self._note_held(exchange)
            if not self._send(exchange):
                return
        if not self._pending and not self._reader.has_begun:
            self._large_bodies.release(self)
        self._process_unread()

    def _note_held(self, exchange: exchange_module.Exchange) -> None:
        """Counts and logs an answer that waited for those before it."""
        held_s = self.last_active_s - exchange.ready_s
        if held_s < HELD_S:
            return
        self._stats.held_answers += 1
        _LOGGER.info(
            "event=answer-held target=%r status=%d held_ms=%d",
            exchange.target[:MAX_LOGGED_CHARACTERS],
            exchange.response.status,
            held_s * MS_PER_S,
        )

    def _send(self, exchange: exchange_module.Exchange) -> bool:
        """Sends an answer; returns False if it closes the connection."""
        # Requests that are pending or partly received are still answered.
        has_more = (
            self._pending or self._request_began_s is not None or self._unread
        )
        if self._is_draining and not has_more:
            exchange.keeps_alive = False
        try:
            encoded = exchange.encode()
        except exceptions.MalformedHeadError as error:
            _LOGGER.error("event=answer-malformed error=%s", error)
            exchange.response = http_response.HttpResponse(BAD_GATEWAY)
            encoded = exchange.encode()
        self._transport.write(encoded)
        if exchange.keeps_alive:
            return True
        self._stop_reading()
        self._cancel_pending()
        self._close_soon()
        return False

    def _refuse(self, status: int) -> None:
        """Answers an invalid request, after the requests before it."""
        self._refuse_with(http_response.HttpResponse(status))

    def _refuse_with(self, response: http_response.HttpResponse) -> None:
        """Answers after the requests before it, and closes the connection."""
        self._stats.refusals[response.status] += 1
        self._stop_reading()
        exchange = exchange_module.Exchange(
            None, began_s=self._loop.time(), keeps_alive=False
        )
        exchange.response = response
        exchange.ready_s = self._loop.time()
        self._pending.append(exchange)
        self._flush()

    def _stop_reading(self) -> None:
        self._reader.close()
        self._request_began_s = None
        self._stop_request_timer()
        self._unread.clear()
        self._unread_bytes = 0
        self._large_bodies.release(self)
        self._has_room = True
        self._update_reading()

    def _close_soon(self) -> None:
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._loop.call_later(LINGER_S, self._transport.close)

    def _cancel_pending(self) -> None:
        self._drop_waiting()
        pending, self._pending = self._pending, collections.deque()
        for exchange in pending:
            if exchange.task is not None:
                exchange.task.cancel()
