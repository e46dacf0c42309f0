"""Callers that keep connections open and record every answer."""

import asyncio
import itertools
import random

import httpx

from soak import attempt
from soak import live_target
from soak import node_process
from soak import record
from standins.mesh import operator_config

PAUSE_S = 0.08
PROBE_S = 0.4
TIMEOUT_S = 2.5
"""A route's timeout is 2 s."""

CONNECT_TIMEOUT_S = 1.0
REFUSED = 503

IN_PART_PAUSE_S = 1.0
IN_PART = (
    "PUT /non_idempotent/part HTTP/1.1\r\nhost: {}.example\r\n"
    "x-attempt-id: {}\r\nx-deadline-ms: 1000\r\ncontent-length: 9\r\n\r\nx"
)
"""A request of which the last bytes never come."""

HELD_S = 1.0 + 0.5
"""Deadline of such a request, and the time after it by which it is answered."""


class Callers:
    """Sends calls and configuration version probes to one node.

    Args:
        node: The node.
        services: Services that are called.
        seen: Receives attempts and probes.
        rng: Random source for the choice of calls.
    """

    def __init__(
        self,
        *,
        node: node_process.NodeProcess,
        services: tuple[str, ...],
        seen: record.Record,
        rng: random.Random,
    ):
        self._node = node
        self._services = services
        self._seen = seen
        self._rng = rng
        self._numbers = itertools.count()

    async def call(self) -> None:
        """Sends calls sequentially until cancelled."""
        async with self._client() as client:
            while True:
                await self._call(client)
                await asyncio.sleep(self._rng.uniform(0.5, 1.5) * PAUSE_S)

    async def call_deadly(self, *, gap_s: float) -> None:
        """Sends the same deadly request again and again until cancelled.

        Args:
            gap_s: Mean time between two of them.
        """
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(self._rng.uniform(0.0, 2 * gap_s))
            name = f"deadly-{self._node.name}-{next(self._numbers)}"
            self._seen.deadly_sent_s[name] = loop.time()
            try:
                async with self._client() as client:
                    await client.put(
                        "/idempotent/deadly",
                        headers=_headers(f"{self._services[0]}.example", name),
                        content=live_target.DEADLY_BODY,
                    )
            except httpx.HTTPError:
                # Its node may be down; what it ran is recorded at targets.
                continue

    async def call_in_part(self) -> None:
        """Sends requests that are never whole until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(self._rng.uniform(0.5, 1.5) * IN_PART_PAUSE_S)
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(
                        self._node.host, node_process.CALLER_PORT
                    )
            except (OSError, TimeoutError):
                continue
            name = f"{record.IN_PART}{self._node.name}-{next(self._numbers)}"
            sent_s = loop.time()
            writer.write(IN_PART.format(self._services[0], name).encode())
            if not await _has_answer(reader, HELD_S):
                span = record.Span(sent_s, loop.time(), name)
                self._seen.held.append(span)
            writer.transport.abort()

    async def probe(self) -> None:
        """Probes the two newest configuration versions until cancelled."""
        async with self._client() as client:
            while True:
                await asyncio.sleep(PROBE_S)
                newest = sorted(self._seen.versions_s)[-2:]
                for version in reversed(newest):
                    await self._probe(client, version)

    def _client(self) -> httpx.AsyncClient:
        timeout = httpx.Timeout(TIMEOUT_S, connect=CONNECT_TIMEOUT_S)
        address = self._node.address(node_process.CALLER_PORT)
        return httpx.AsyncClient(
            base_url=f"http://{address}",
            timeout=timeout,
            # Loading certificates would block the event loop for each client.
            verify=False,
        )

    async def _call(self, client: httpx.AsyncClient) -> None:
        is_posting = self._rng.random() < 0.5
        kind = "non_idempotent" if is_posting else "idempotent"
        service = self._rng.choice(self._services)
        loop = asyncio.get_running_loop()
        sent = attempt.Attempt(
            attempt_id=f"{self._node.name}-{next(self._numbers)}",
            node=self._node.index,
            life=self._node.start_count,
            is_posting=is_posting,
            sent_s=loop.time(),
        )
        path = f"/{kind}/{sent.attempt_id}"
        try:
            answer = await client.request(
                "PUT" if is_posting else "GET",
                path,
                headers=_headers(f"{service}.example", sent.attempt_id),
                content=sent.attempt_id.encode() if is_posting else b"",
            )
        except httpx.HTTPError as error:
            sent.failure = type(error).__name__
        else:
            expected = path + (sent.attempt_id if is_posting else "")
            sent.status = answer.status_code
            if sent.status == REFUSED:
                sent.failure = answer.json()["error"]
            sent.stamp = answer.headers.get("x-upstream-stamp", "")
            sent.is_own = answer.text == expected and sent.stamp.endswith(
                f".{sent.attempt_id}"
            )
        sent.ended_s = loop.time()
        self._seen.attempts.append(sent)

    async def _probe(self, client: httpx.AsyncClient, version: int) -> None:
        sent_s = asyncio.get_running_loop().time()
        start_number = self._node.start_count
        name = f"probe-{self._node.name}-{next(self._numbers)}"
        try:
            answer = await client.get(
                f"/v{version}/x",
                headers=_headers(operator_config.MARK_HOST, name),
            )
        except httpx.HTTPError:
            # The calls already check whether the node answers at all.
            return
        if (
            answer.status_code in (200, 404)
            and start_number == self._node.start_count
        ):
            has_route = answer.status_code == 200
            self._seen.probes.append(
                record.Probe(
                    self._node.index, start_number, version, sent_s, has_route
                )
            )


async def _has_answer(reader: asyncio.StreamReader, limit_s: float) -> bool:
    """Returns whether an answer or the end has come within a time."""
    reading = asyncio.create_task(reader.read(1))
    await asyncio.wait((reading,), timeout=limit_s)
    # After a pause of this process, the answer and the timer are due at once.
    await asyncio.sleep(0)
    reading.cancel()
    await asyncio.gather(reading, return_exceptions=True)
    return not reading.cancelled()


def _headers(host: str, attempt_id: str) -> dict[str, str]:
    return {"host": host, "x-attempt-id": attempt_id, "x-deadline-ms": "2000"}
