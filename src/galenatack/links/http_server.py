"""Serves an ASGI application with hypercorn."""

import asyncio
import ssl
import typing

import anyio
import hypercorn.asyncio.worker_context
import hypercorn.config
import hypercorn.utils

from galenatack.links import http_connection
from galenatack.links import joined_writer

_KEEP_ALIVE_S = 60.0
_BACKLOG = 1024
# Hypercorn closes a connection after so many requests; a low value would
# make busy callers reconnect.
_REQUESTS_PER_CONNECTION = 1_000_000
_MAX_HEADER_BYTES = 65_536


class TlsFiles(typing.NamedTuple):
    """Files of a TLS listener.

    Attributes:
        cert_file: Certificate chain.
        key_file: Private key.
        ca_file: Signers of client certificates; empty asks for none.
    """

    cert_file: str
    key_file: str
    ca_file: str = ""


async def serve(
    app: typing.Any,
    *,
    address: str,
    shutdown: anyio.Event,
    drain_s: float = 10.0,
    idle_grace_s: float = 0.0,
    tls: TlsFiles | None = None,
) -> None:
    """Serves HTTP/1.1 and HTTP/2 until `shutdown` is set.

    Requests that run at the shutdown are completed within `drain_s` seconds.

    Args:
        app: An ASGI application.
        address: host:port to listen on.
        shutdown: Ends the server.
        drain_s: Longest time for the requests in flight.
        idle_grace_s: Time from the shutdown until idle connections are
            closed; a request that comes before is still answered.
        tls: Files of a TLS listener, or None for plain HTTP.
    """
    config = _config(address, tls)
    server = _Server(app, config)
    listener = await server.listen()
    try:
        await shutdown.wait()
    finally:
        listener.close()
        with anyio.CancelScope(shield=True):
            await server.drain(drain_s, idle_grace_s)


class _Server:
    """Runs hypercorn's connections on listeners of its own.

    `hypercorn.asyncio.serve` does the same but leaves no way to join the
    writes of an answer.
    """

    def __init__(self, app: typing.Any, config: hypercorn.config.Config):
        self._app = hypercorn.utils.wrap_app(
            app, config.wsgi_max_body_size, "asgi"
        )
        self._config = config
        self._context = hypercorn.asyncio.worker_context.WorkerContext(None)
        self._tasks: set[asyncio.Task] = set()

    async def listen(self) -> asyncio.Server:
        """Opens the listener."""
        host, _, port = self._config.bind[0].rpartition(":")
        context = None
        if self._config.ssl_enabled:
            context = self._config.create_ssl_context()
        return await asyncio.start_server(
            self._serve,
            host=host,
            port=int(port),
            backlog=self._config.backlog,
            ssl=context,
        )

    async def drain(self, drain_s: float, idle_grace_s: float) -> None:
        """Waits for the requests in flight, then ends all connections."""
        idle_grace_s = min(idle_grace_s, drain_s)
        if self._tasks and idle_grace_s:
            await asyncio.wait(self._tasks, timeout=idle_grace_s)
        await self._context.terminated.set()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=drain_s - idle_grace_s)
        for task in self._tasks:
            task.cancel()

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


def _config(address: str, tls: TlsFiles | None) -> hypercorn.config.Config:
    config = hypercorn.config.Config()
    config.bind = [address]
    config.accesslog = None
    config.backlog = _BACKLOG
    config.keep_alive_timeout = _KEEP_ALIVE_S
    config.keep_alive_max_requests = _REQUESTS_PER_CONNECTION
    config.include_server_header = False
    config.include_date_header = False
    config.h11_max_incomplete_size = _MAX_HEADER_BYTES
    if tls is not None:
        config.certfile = tls.cert_file
        config.keyfile = tls.key_file
        if tls.ca_file:
            config.ca_certs = tls.ca_file
            config.verify_mode = ssl.CERT_REQUIRED
    return config
