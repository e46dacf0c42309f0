"""Callers that pipeline requests on routes that change."""

import asyncio
import collections.abc
import itertools
import random

from soak import config_series
from soak import node_process
from soak import record
from soak import sighting

PROBE_PAUSE_S = 0.25
PROBE_DEPTH = 4
BURST_PAUSE_S = 6.0
MIN_BURST_DEPTH = 30
MAX_BURST_DEPTH = 150
ANSWERS_S = 6.0
SPLIT_S = 0.02
RECONNECT_S = 0.2
PLAIN = "plain"
ABSOLUTE = "absolute"
ROOT_LABEL = "root-label"
FORMS = (PLAIN,) * 8 + (ABSOLUTE, ROOT_LABEL)


class RouteCallers:
    """Sends requests on changing routes to one node, on kept connections.

    Args:
        node: The node.
        series: The configuration and its changes.
        services: Service of each target, by the number of its node.
        seen: Receives the requests.
        rng: Random source for the choice of routes.
    """

    def __init__(
        self,
        *,
        node: node_process.NodeProcess,
        series: config_series.ConfigSeries,
        services: tuple[str, ...],
        seen: record.Record,
        rng: random.Random,
    ):
        self._node = node
        self._series = series
        self._services = services
        self._seen = seen
        self._rng = rng
        self._numbers = itertools.count()

    async def probe(self) -> None:
        """Sends a few requests at a time until cancelled."""
        await self._keep_sending(
            PROBE_PAUSE_S, lambda: self._rng.randint(1, PROBE_DEPTH)
        )

    async def burst(self) -> None:
        """Sends many requests at a time until cancelled."""
        await self._keep_sending(
            BURST_PAUSE_S,
            lambda: self._rng.randint(MIN_BURST_DEPTH, MAX_BURST_DEPTH),
        )

    async def _keep_sending(
        self, pause_s: float, draw_depth: collections.abc.Callable[[], int]
    ) -> None:
        while True:
            writer = None
            try:
                reader, writer = await asyncio.open_connection(
                    self._node.host, node_process.CALLER_PORT
                )
                while True:
                    await asyncio.sleep(self._rng.uniform(0, 2 * pause_s))
                    await self._exchange(reader, writer, draw_depth())
            except (OSError, EOFError, TimeoutError):
                # Whether calls are answered at all is checked elsewhere.
                await asyncio.sleep(RECONNECT_S)
            finally:
                if writer is not None:
                    writer.transport.abort()

    async def _exchange(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        depth: int,
    ) -> None:
        loop = asyncio.get_running_loop()
        sent = [
            sighting.Sighting(
                attempt_id=f"r{self._node.index}-{next(self._numbers)}",
                route=self._series.draw_route(self._rng),
                form=self._rng.choice(FORMS),
                depth=depth,
                node=self._node.index,
                life=self._node.start_count,
                sent_s=loop.time(),
            )
            for _ in range(depth)
        ]
        self._seen.sightings.extend(sent)
        requests = b"".join(_request(one) for one in sent)
        # The first read of the node may end anywhere in a request.
        first = self._rng.randrange(len(requests))
        writer.write(requests[:first])
        await asyncio.sleep(SPLIT_S)
        writer.write(requests[first:])
        async with asyncio.timeout(ANSWERS_S):
            for one in sent:
                status, headers, body = await _read_answer(reader)
                if one.life != self._node.start_count:
                    raise EOFError("the node has been started again")
                one.ended_s = loop.time()
                one.status = status
                self._judge(one, headers, body)
                if headers.get("connection", "").lower() == "close":
                    raise EOFError("the node closes the connection")

    def _judge(
        self, one: sighting.Sighting, headers: dict[str, str], body: bytes
    ) -> None:
        if one.status != 200:
            one.is_own = True
            return
        target_id, _, attempt_id = headers.get(
            "x-upstream-stamp", ""
        ).partition(".")
        one.is_own = (
            attempt_id == one.attempt_id and body == _path(one).encode()
        )
        if one.is_own:
            number = int(target_id.removeprefix("t").partition("-")[0])
            one.service = self._services[number]


def _path(one: sighting.Sighting) -> str:
    return f"{config_series.prefix(one.route)}{one.attempt_id}"


def _request(one: sighting.Sighting) -> bytes:
    host = config_series.host(one.route)
    path = _path(one)
    if one.form == ABSOLUTE:
        path = f"http://{host}{path}"
    elif one.form == ROOT_LABEL:
        host += "."
    return (
        f"GET {path} HTTP/1.1\r\nHost: {host}\r\n"
        f"X-Attempt-Id: {one.attempt_id}\r\nX-Deadline-Ms: 4000\r\n\r\n"
    ).encode()


async def _read_answer(
    reader: asyncio.StreamReader,
) -> tuple[int, dict[str, str], bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    status_line, *lines = head.rstrip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers["content-length"]))
    return int(status_line.split()[1]), headers, body
