"""Finds loopback ports for processes of a benchmark."""

import socket


def free_ports(count: int) -> list[int]:
    """Returns ports of 127.0.0.1 that were free a moment ago."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for item in sockets:
            item.bind(("127.0.0.1", 0))
        return [item.getsockname()[1] for item in sockets]
    finally:
        for item in sockets:
            item.close()
