"""Loopback ports for tests."""

import socket

import anyio

_LONGEST_WAIT_S = 5.0


def open_port() -> int:
    """Returns a port of 127.0.0.1 that was free a moment ago."""
    with socket.socket() as item:
        item.bind(("127.0.0.1", 0))
        return item.getsockname()[1]


async def wait_for(port: int) -> None:
    """Waits until something listens on the port."""
    with anyio.fail_after(_LONGEST_WAIT_S):
        while True:
            try:
                stream = await anyio.connect_tcp("127.0.0.1", port)
            except OSError:
                await anyio.sleep(0.01)
            else:
                await stream.aclose()
                return
