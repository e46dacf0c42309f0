"""Fetches announced bodies from the nodes of their callers."""

import asyncio
import functools
import typing

from galenatack import exceptions
from galenatack.bodies import announced_body
from galenatack.bodies import part_window
from galenatack.bodies import transfer_rate
from galenatack.interfaces import clock as clock_interface
from galenatack.interfaces import peer_network
from galenatack.messages import body_part
from galenatack.messages import fetch_body

PART_BYTES = 8 * 1024
"""Size of a part; 13 ms at 5 Mbit/s."""

MAX_BODY_BYTES = 4 * 1024 * 1024
"""Limit on one body, which a node takes from the number that a peer names."""

MAX_HELD_BYTES = 32_000_000
"""Limit on the bodies of all calls, from the begin of a fetch to the end of its
call."""

PART_TIMEOUT_S = 2.0
"""Time for one part, that of a silent link: a node that does not answer keeps
others from their parts no longer."""

RETRY_AFTER_MS = 100

SIZE_WEIGHT = 4.0
"""A body goes behind another that comes later by this many times the difference
of their transfer times. Short ones first lets more calls be in time on a busy
link; by their age, long ones get their turn."""

MS_PER_S = 1000.0


class _Fetch(typing.NamedTuple):
    """A body that is being fetched."""

    call_id: str
    node_id: str
    size_bytes: int
    order: tuple[int, float]
    deadline_s: float


class BodyFetcher:
    """Fetches bodies in parts, the most urgent body first.

    Args:
        peers: Links to other nodes.
        clock: Source of time.

    Attributes:
        fetched: Number of bodies that have arrived.
        failed: Number of bodies that have not.
        backlog_bytes: Bytes of announced bodies that have not arrived yet.
        held_bytes: Bytes of the bodies of all calls that have not ended.
    """

    def __init__(
        self,
        *,
        peers: peer_network.PeerNetwork,
        clock: clock_interface.Clock,
    ):
        self._peers = peers
        self._clock = clock
        self._window = part_window.PartWindow()
        self._rate = transfer_rate.TransferRate(clock=clock)
        self._parts_on_the_way = 0
        self._tasks: dict[str, asyncio.Task[bytes]] = {}
        self.fetched = 0
        self.failed = 0
        self.backlog_bytes = 0
        self._held: dict[str, int] = {}
        self.held_bytes = 0

    def wait_ms(self) -> float:
        """Returns how long a further body would wait for those before it."""
        return self._rate.time_ms(self.backlog_bytes)

    async def fetch(
        self,
        call_id: str,
        announced: announced_body.AnnouncedBody,
        *,
        priority: int,
        deadline_s: float,
    ) -> bytes:
        """Returns a body.

        Args:
            call_id: Identifier of its call.
            announced: The body.
            priority: Priority of the call; 0 is the most urgent.
            deadline_s: Monotonic time by which the call must have ended.

        Raises:
            exceptions.BodyUnavailableError: The body did not arrive whole, so
                that its call has not run.
            exceptions.CancelledCallError: The call was cancelled.
        """
        body = _Fetch(
            call_id, *announced, self._order(announced, priority), deadline_s
        )
        if not 0 < body.size_bytes <= MAX_BODY_BYTES:
            raise _unavailable(body, f"more than {MAX_BODY_BYTES} bytes")
        if self.held_bytes + body.size_bytes > MAX_HELD_BYTES:
            raise _unavailable(body, "too many others are held")
        self._held[call_id] = body.size_bytes
        self.held_bytes += body.size_bytes
        task = asyncio.create_task(self._fetch(body))
        self._tasks[body.call_id] = task
        try:
            data = await asyncio.shield(task)
        except asyncio.CancelledError:
            self.failed += 1
            if not task.cancelled():
                task.cancel()
                raise
            raise exceptions.CancelledCallError(
                "cancelled before its body arrived", is_confirmed=True
            ) from None
        except exceptions.BodyUnavailableError:
            self.failed += 1
            raise
        finally:
            del self._tasks[body.call_id]
        self.fetched += 1
        return data

    def release(self, call_id: str) -> None:
        """Notes that a call has ended, and its body is not kept any more."""
        self.held_bytes -= self._held.pop(call_id, 0)

    def cancel(self, call_id: str) -> bool:
        """Ends a fetch; returns False if the call's body is not fetched."""
        task = self._tasks.get(call_id)
        return task is not None and task.cancel()

    def _order(
        self, announced: announced_body.AnnouncedBody, priority: int
    ) -> tuple[int, float]:
        transfer_s = self._rate.time_ms(announced.size_bytes) / MS_PER_S
        return priority, self._clock.monotonic_s() + SIZE_WEIGHT * transfer_s

    async def _fetch(self, body: _Fetch) -> bytes:
        data = bytearray(body.size_bytes)
        unasked_bytes = body.size_bytes
        self.backlog_bytes += unasked_bytes
        left_s = body.deadline_s - self._clock.monotonic_s()
        try:
            async with asyncio.timeout(left_s), asyncio.TaskGroup() as parts:
                while unasked_bytes:
                    await self._window.acquire(body.order)
                    offset = body.size_bytes - unasked_bytes
                    size_bytes = min(PART_BYTES, unasked_bytes)
                    unasked_bytes -= size_bytes
                    self._start_part(parts, body, offset, size_bytes, data)
        except* exceptions.BodyUnavailableError as group:
            raise group.exceptions[0] from None
        except* TimeoutError:
            raise _unavailable(body, "not here by the deadline") from None
        finally:
            self.backlog_bytes -= unasked_bytes
        return bytes(data)

    def _start_part(
        self,
        parts: asyncio.TaskGroup,
        body: _Fetch,
        offset: int,
        size_bytes: int,
        data: bytearray,
    ) -> None:
        self._parts_on_the_way += 1
        self._rate.start()
        task = parts.create_task(
            self._fetch_part(body, offset, size_bytes, data)
        )
        # A task that is cancelled before it begins runs no code of its own.
        task.add_done_callback(functools.partial(self._end_part, size_bytes))

    def _end_part(self, size_bytes: int, task: asyncio.Task[None]) -> None:
        self._parts_on_the_way -= 1
        self.backlog_bytes -= size_bytes
        self._window.release()
        has_arrived = not task.cancelled() and task.exception() is None
        self._rate.add(
            size_bytes if has_arrived else 0,
            is_last=not self._parts_on_the_way,
        )

    async def _fetch_part(
        self,
        body: _Fetch,
        offset: int,
        size_bytes: int,
        data: bytearray,
    ) -> None:
        part = await self._request(body, offset, size_bytes)
        data[offset : offset + size_bytes] = part

    async def _request(
        self, body: _Fetch, offset: int, size_bytes: int
    ) -> bytes:
        left_s = body.deadline_s - self._clock.monotonic_s()
        try:
            reply = await self._peers.request(
                body.node_id,
                fetch_body.FetchBody(body.call_id, offset, size_bytes),
                timeout_s=max(0.0, min(left_s, PART_TIMEOUT_S)),
            )
        except exceptions.PeerError as error:
            raise _unavailable(body, str(error)) from error
        if not isinstance(reply, body_part.BodyPart) or (
            (reply.call_id, reply.offset) != (body.call_id, offset)
        ):
            raise _unavailable(body, "the reply is not the part")
        if len(reply.data) != size_bytes:
            raise _unavailable(body, "its node has given the call up")
        return reply.data


def _unavailable(body: _Fetch, detail: str) -> exceptions.BodyUnavailableError:
    return exceptions.BodyUnavailableError(
        f"body of {body.size_bytes} bytes of {body.node_id}: {detail}",
        retry_after_ms=RETRY_AFTER_MS,
    )
