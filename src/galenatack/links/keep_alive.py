"""TCP keep-alive probes that detect a silent peer."""

import asyncio
import socket

IDLE_S = 1
INTERVAL_S = 1
PROBES = 2
USER_TIMEOUT_MS = 3000
"""A silent connection fails within 3 s, below the 4 s in which users expect a
node to have reconnected."""


def enable(transport: asyncio.BaseTransport) -> None:
    """Enables the probes on a transport's socket, if it has one."""
    raw = transport.get_extra_info("socket")
    if raw is None:
        return
    tcp = socket.IPPROTO_TCP
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(tcp, socket.TCP_KEEPIDLE, IDLE_S)
    raw.setsockopt(tcp, socket.TCP_KEEPINTVL, INTERVAL_S)
    raw.setsockopt(tcp, socket.TCP_KEEPCNT, PROBES)
    raw.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    raw.setsockopt(tcp, socket.TCP_NODELAY, 1)
