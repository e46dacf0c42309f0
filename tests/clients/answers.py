"""Answers on raw connections, in the order of their requests."""

import asyncio
import contextlib

READ_BYTES = 65_536
NOT_RUN = frozenset((408, 421, 429, 503))
"""A request that is answered so has not run, and never will."""


async def read(sock, *, silence_s):
    """Returns what a connection brings until it closes or is silent."""
    loop = asyncio.get_running_loop()
    data = bytearray()
    with contextlib.suppress(OSError, TimeoutError):
        while True:
            async with asyncio.timeout(silence_s):
                piece = await loop.sock_recv(sock, READ_BYTES)
            if not piece:
                break
            data += piece
    return bytes(data)


def statuses(data):
    """Returns the statuses of all whole answers."""
    found = []
    while True:
        head, end, rest = data.partition(b"\r\n\r\n")
        if not end:
            return found
        lines = head.split(b"\r\n")
        size = 0
        for line in lines[1:]:
            name, _, value = line.partition(b":")
            if name.lower() == b"content-length":
                size = int(value)
        if len(rest) < size:
            return found
        found.append(int(lines[0].split()[1]))
        data = rest[size:]
