"""Loopback addresses that no other run uses."""

import os
import socket

from soak import node_process

FIRST_BASE = 100
BASES = 100
_PORTS = (
    node_process.CALLER_PORT,
    node_process.CONTROL_PORT,
    node_process.PEER_RELAY_PORT,
)


class InUseError(Exception):
    """All loopback addresses are in use."""


def free_base(*, seed: int, nodes: int) -> int:
    """Returns the second octet of addresses that are free.

    Args:
        seed: Seed of the run; concurrent ones start their search apart.
        nodes: Number of nodes.

    Raises:
        InUseError: All are in use.
    """
    for step in range(BASES):
        base = FIRST_BASE + (seed + os.getpid() + step) % BASES
        if all(
            _is_free(f"127.{base}.0.{number + 1}", port)
            for number in range(nodes)
            for port in _PORTS
        ):
            return base
    raise InUseError(f"127.{FIRST_BASE}.0.0 to 127.{FIRST_BASE + BASES - 1}")


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        # As the listeners of a run do it.
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError:
            # Another run listens here.
            return False
    return True
