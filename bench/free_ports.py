"""Finds loopback ports for processes of a benchmark."""

import socket


def free_ports(count: int) -> list[int]:
    """Returns ports of 127.0.0.1 that were just free."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for probe in sockets:
            probe.bind(("127.0.0.1", 0))
        return [probe.getsockname()[1] for probe in sockets]
    finally:
        for probe in sockets:
            probe.close()
