"""Open-loop load; latency is measured from the planned send time."""

import collections.abc
import json
import time

import anyio
import anyio.abc
import hdrh.histogram
import httpcore

_MAX_LATENCY_US = 10_000_000
_DIGITS = 3
_US_PER_S = 1_000_000
_US_PER_MS = 1000
_CONNECTIONS = 100
_KEEP_ALIVE_S = 600.0
_ECHO_BYTES = 200
PERCENTILES = (50.0, 99.0, 99.9)

Send = collections.abc.Callable[[int], collections.abc.Awaitable[bool]]


class Latencies:
    """Latencies of one path at one rate.

    Attributes:
        histogram: Microseconds from the planned send time.
        failures: Calls without the expected answer.
        cpu_s: CPU time of the nodes on the path.
    """

    def __init__(self):
        self.histogram = hdrh.histogram.HdrHistogram(
            1, _MAX_LATENCY_US, _DIGITS
        )
        self.failures = 0
        self.cpu_s = 0.0

    def percentile_ms(self, percentile: float) -> float:
        """Returns a percentile in milliseconds."""
        value_us = self.histogram.get_value_at_percentile(percentile)
        return value_us / _US_PER_MS

    async def run(self, send: Send, *, rate: int, duration_s: float) -> None:
        """Sends `rate` calls per second, independent of answers."""
        async with anyio.create_task_group() as tasks:
            start_s = time.monotonic()
            for number in range(int(rate * duration_s)):
                planned_s = start_s + number / rate
                await anyio.sleep(max(0.0, planned_s - time.monotonic()))
                tasks.start_soon(self._send, send, number, planned_s)

    async def _send(self, send: Send, number: int, planned_s: float) -> None:
        is_good = await send(number)
        elapsed_us = int((time.monotonic() - planned_s) * _US_PER_S)
        self.histogram.record_value(max(1, elapsed_us))
        self.failures += not is_good


class HttpCaller:
    """Sends reads over keep-alive connections to one address.

    Args:
        address: host:port.
        path: Path prefix, followed by the number of the call.
    """

    def __init__(self, address: str, path: str):
        self._url = f"http://{address}{path}"
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=_CONNECTIONS,
            max_keepalive_connections=_CONNECTIONS,
            keepalive_expiry=_KEEP_ALIVE_S,
        )

    async def send(self, number: int) -> bool:
        """Sends one call; returns whether its own answer came back."""
        answer = await self._pool.request("GET", f"{self._url}/{number}")
        if answer.status != 200:
            return False
        return json.loads(answer.content)["path"].endswith(f"/{number}")

    async def close(self) -> None:
        """Closes the connections."""
        await self._pool.aclose()


class EchoCaller:
    """Sends raw bytes over keep-alive connections to an echo server.

    Args:
        address: host:port of `bench.echo`.
    """

    def __init__(self, address: str):
        self._address = address
        self._idle: list[anyio.abc.SocketStream] = []

    async def send(self, number: int) -> bool:
        """Sends one message; returns whether it came back."""
        stream = self._idle.pop() if self._idle else await self._connect()
        message = b"%d" % number + b"x" * _ECHO_BYTES
        await stream.send(message)
        received = b""
        while len(received) < len(message):
            received += await stream.receive()
        self._idle.append(stream)
        return received == message

    async def close(self) -> None:
        """Closes the connections."""
        for stream in self._idle:
            await stream.aclose()

    async def _connect(self) -> anyio.abc.SocketStream:
        host, _, port = self._address.rpartition(":")
        return await anyio.connect_tcp(host, int(port))
