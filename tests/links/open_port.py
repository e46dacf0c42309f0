"""Loopback ports for tests."""

import socket

import anyio

_TIMEOUT_S = 5.0


def open_port() -> int:
    """Returns a free port of 127.0.0.1; another process may still take it."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


async def wait_for(port: int) -> None:
    """Waits until the port accepts connections."""
    with anyio.fail_after(_TIMEOUT_S):
        while True:
            try:
                stream = await anyio.connect_tcp("127.0.0.1", port)
            except OSError:
                await anyio.sleep(0.01)
            else:
                await stream.aclose()
                return
