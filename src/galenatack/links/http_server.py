"""Serves an ASGI application: HTTP/1.1 on h11, HTTP/2 with hypercorn."""

import asyncio
import ssl
import typing

import anyio
import hypercorn.asyncio.worker_context
import hypercorn.config
import hypercorn.utils

from galenatack.links import h11_connection
from galenatack.links import http_connection
from galenatack.links import joined_writer

_KEEP_ALIVE_S = 60.0
_BACKLOG = 1024
_DRAIN_POLL_S = 0.02
# Hypercorn closes a connection after this many requests; a low value would
# make busy callers reconnect.
_REQUESTS_PER_CONNECTION = 1_000_000


async def serve(
    app: typing.Any,
    *,
    address: str,
    shutdown: anyio.Event,
    drain_s: float = 10.0,
    idle_grace_s: float = 0.0,
    tls: ssl.SSLContext | None = None,
) -> None:
    """Serves HTTP/1.1 and HTTP/2 until `shutdown` is set.

    After the shutdown, requests in flight have `drain_s` seconds to complete.

    Args:
        app: An ASGI application.
        address: host:port to listen on.
        shutdown: Stops the server when set.
        drain_s: Maximum time for requests in flight to complete.
        idle_grace_s: Time from the shutdown until idle connections are
            closed; requests received before that are still answered.
        tls: Context of a TLS listener, or None for plain HTTP. Changes to
            the context apply to new handshakes.
    """
    server = _Server(app, _config(address), tls)
    listener = await server.listen()
    try:
        await shutdown.wait()
    finally:
        listener.close()
        with anyio.CancelScope(shield=True):
            await server.drain(drain_s, idle_grace_s)


class _Server:
    """Owns the listener and its connections.

    It replaces `hypercorn.asyncio.serve`, which can neither join the writes
    of a response nor serve HTTP/1.1 without its stream layers.
    """

    def __init__(
        self,
        app: typing.Any,
        config: hypercorn.config.Config,
        tls: ssl.SSLContext | None,
    ):
        self._tls = tls
        self._inner_app = app
        self._connections: set[h11_connection.H11Connection] = set()
        self._app = hypercorn.utils.wrap_app(
            self._count_requests, config.wsgi_max_body_size, "asgi"
        )
        self._http2_requests = 0
        self._config = config
        self._context = hypercorn.asyncio.worker_context.WorkerContext(None)
        self._tasks: set[asyncio.Task] = set()

    async def listen(self) -> asyncio.Server:
        """Opens the listener."""
        host, _, port = self._config.bind[0].rpartition(":")
        return await asyncio.get_running_loop().create_server(
            self._make_connection,
            host=host,
            port=int(port),
            backlog=self._config.backlog,
            ssl=self._tls,
        )

    async def _wait_for_connections(self, timeout_s: float) -> None:
        with anyio.move_on_after(timeout_s):
            while self._connections or self._tasks:
                await asyncio.sleep(_DRAIN_POLL_S)

    async def _wait_for_http2(self, timeout_s: float) -> None:
        with anyio.move_on_after(timeout_s):
            while self._http2_requests:
                await asyncio.sleep(_DRAIN_POLL_S)

    async def _count_requests(self, scope, receive, send) -> None:
        """Tracks the number of HTTP/2 requests in flight."""
        self._http2_requests += 1
        try:
            await self._inner_app(scope, receive, send)
        finally:
            self._http2_requests -= 1

    async def drain(self, drain_s: float, idle_grace_s: float) -> None:
        """Waits for the requests in flight, then closes all connections."""
        idle_grace_s = min(idle_grace_s, drain_s)
        end_s = anyio.current_time() + drain_s
        await self._wait_for_connections(idle_grace_s)
        for connection in tuple(self._connections):
            connection.close_soon()
        # Once `terminated` is set, hypercorn closes an HTTP/2 connection on
        # its next request, and answers to earlier requests would be lost.
        await self._wait_for_http2(end_s - anyio.current_time())
        await self._context.terminated.set()
        await self._wait_for_connections(end_s - anyio.current_time())
        for connection in tuple(self._connections):
            connection.abort()
        for task in self._tasks:
            task.cancel()

    def _make_connection(self) -> h11_connection.H11Connection:
        return h11_connection.H11Connection(
            app=self._inner_app,
            connections=self._connections,
            keep_alive_s=self._config.keep_alive_timeout,
            hand_over=self._serve_http2,
        )

    def _serve_http2(self, transport: asyncio.Transport, data: bytes) -> None:
        """Hands an HTTP/2 connection over to hypercorn."""
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader(loop=loop)
        protocol = asyncio.StreamReaderProtocol(reader, self._serve, loop=loop)
        transport.set_protocol(protocol)
        protocol.connection_made(transport)
        if data:
            protocol.data_received(data)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        await http_connection.HttpConnection(
            self._app,
            asyncio.get_running_loop(),
            self._config,
            self._context,
            {},
            reader,
            joined_writer.JoinedWriter(writer),
        )


def _config(address: str) -> hypercorn.config.Config:
    config = hypercorn.config.Config()
    config.bind = [address]
    config.accesslog = None
    config.backlog = _BACKLOG
    config.keep_alive_timeout = _KEEP_ALIVE_S
    config.keep_alive_max_requests = _REQUESTS_PER_CONNECTION
    config.include_server_header = False
    config.include_date_header = False
    config.h11_max_incomplete_size = h11_connection.MAX_HEADER_BYTES
    return config
