"""Finds the process at the other end of a loopback connection."""

import collections.abc
import os
import socket
import struct

Address = tuple[str, int]

_NETLINK_SOCK_DIAG = 4
_SOCK_DIAG_BY_FAMILY = 20
_NLM_F_REQUEST = 1
_ANY = 0xFFFFFFFF
_HEADER = struct.Struct("=IHHII")
_REQUEST = struct.Struct("=BBBBI")
_ENDPOINTS = struct.Struct("!HH16s16s")
_REST = struct.Struct("=III")
_INODE = struct.Struct("=I")
_INODE_AT = 84
"""Offset in an answer: two headers, the endpoints, and four counters."""

_MAX_ANSWER_BYTES = 4096


def owner(
    client: Address, server: Address, pids: collections.abc.Iterable[int]
) -> int | None:
    """Returns which process has dialled a connection, or None.

    The source address of a loopback connection doesn't tell, as it is
    127.0.0.1 whoever dials.

    Args:
        client: Address of the dialling end.
        server: Address that was dialled.
        pids: Processes that may have dialled it.
    """
    wanted = f"socket:[{_inode(client, server)}]"
    return next((pid for pid in pids if wanted in _sockets(pid)), None)


def _inode(client: Address, server: Address) -> int:
    """Returns the inode of the socket at the dialling end; 0 for none."""
    endpoints = _ENDPOINTS.pack(
        client[1],
        server[1],
        socket.inet_aton(client[0]),
        socket.inet_aton(server[0]),
    ) + _REST.pack(0, _ANY, _ANY)
    request = _REQUEST.pack(socket.AF_INET, socket.IPPROTO_TCP, 0, 0, _ANY)
    size = _HEADER.size + len(request) + len(endpoints)
    header = _HEADER.pack(size, _SOCK_DIAG_BY_FAMILY, _NLM_F_REQUEST, 1, 0)
    with socket.socket(
        socket.AF_NETLINK, socket.SOCK_RAW, _NETLINK_SOCK_DIAG
    ) as kernel:
        kernel.send(header + request + endpoints)
        answer = kernel.recv(_MAX_ANSWER_BYTES)
    if _HEADER.unpack_from(answer)[1] != _SOCK_DIAG_BY_FAMILY:
        return 0
    return _INODE.unpack_from(answer, _INODE_AT)[0]


def _sockets(pid: int) -> set[str]:
    folder = f"/proc/{pid}/fd"
    found = set()
    try:
        for name in os.listdir(folder):
            found.add(os.readlink(f"{folder}/{name}"))
    except OSError:
        # The process, or one of its files, has been closed meanwhile.
        return found
    return found
