"""Serves an ASGI application with hypercorn."""

import asyncio
import ssl
import typing

import anyio
import hypercorn.asyncio
import hypercorn.config

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
    tls: TlsFiles | None = None,
) -> None:
    """Serves HTTP/1.1 and HTTP/2 until `shutdown` is set.

    Requests that run at the shutdown are completed within `drain_s` seconds.

    Args:
        app: An ASGI application.
        address: host:port to listen on.
        shutdown: Ends the server.
        drain_s: Longest time for the requests in flight.
        tls: Files of a TLS listener, or None for plain HTTP.
    """
    config = hypercorn.config.Config()
    config.bind = [address]
    config.accesslog = None
    config.backlog = _BACKLOG
    config.keep_alive_timeout = _KEEP_ALIVE_S
    config.keep_alive_max_requests = _REQUESTS_PER_CONNECTION
    config.graceful_timeout = drain_s
    config.shutdown_timeout = drain_s
    config.include_server_header = False
    config.include_date_header = False
    config.h11_max_incomplete_size = _MAX_HEADER_BYTES
    if tls is not None:
        config.certfile = tls.cert_file
        config.keyfile = tls.key_file
        if tls.ca_file:
            config.ca_certs = tls.ca_file
            config.verify_mode = ssl.CERT_REQUIRED
    try:
        await hypercorn.asyncio.serve(
            app, config, shutdown_trigger=shutdown.wait, mode="asgi"
        )
    except asyncio.InvalidStateError:
        # Hypercorn 0.18 asks a cancelled future for its exception when its
        # own task is cancelled while it stops; the stop itself is complete.
        if not shutdown.is_set():
            raise
