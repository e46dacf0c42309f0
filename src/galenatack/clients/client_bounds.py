"""Bounds on what clients make a node keep."""

import typing

DEFAULT_MEMORY_MB = 256
"""Memory of a machine of which the settings do not tell it."""

DEFAULT_MAX_FDS = 4_096
"""Descriptors of such a machine: the smallest known one has 4,100."""

OWN_MEMORY_MB = 64
"""A node without clients has 36 MB resident; members and the configuration of
a large deployment come on top."""

CLIENT_SHARE = 0.5
"""Part of the rest that clients may fill. The other half is for copies of
messages under way, answers of the target, and free memory between objects that
the allocator cannot give back."""

MIN_CLIENT_BYTES = 20_000_000
"""Room for one body of 4 MB with its copies, also on a machine that is smaller
than any known one."""

BYTES_PER_MB = 1 << 20

FILE_DESCRIPTORS = 200
"""Descriptors of a machine that are kept for files."""

OWN_SOCKETS = 64
"""The listeners of a node with the 16 handles of that for callers, its
connections to the target and the store, and connections that were closed in
the same turn of the event loop."""

CALLER_SHARE = 0.4
"""Part of the other descriptors for connections of callers."""

OWN_LISTENER_SHARE = 0.05
"""Part for each of the control, readiness and metrics listeners."""

HANDSHAKE_SHARE = 0.1
"""Part for connections to the peer listener that are not links yet."""

LINK_SHARE = 0.25
"""Part for links that other nodes open. Links that this node opens and
connections to the target and the store need the rest."""

MAX_LINKS = 8_192
"""Each of 4,400 nodes may open a link for calls; the overlay adds a few."""

MIN_CONNECTIONS = 8


class ClientBounds(typing.NamedTuple):
    """Bounds on what clients make a node keep.

    Attributes:
        held_bytes: Limit on the memory for requests and answers of all
            clients, at their size in Python objects.
        caller_connections: Limit on connections of callers.
        own_connections: Limit on connections to each other HTTP listener.
        handshakes: Limit on connections to the peer listener that are not
            links yet.
        links: Limit on links that other nodes open.
    """

    held_bytes: int
    caller_connections: int
    own_connections: int
    handshakes: int
    links: int


def derive(*, memory_mb: int, max_fds: int) -> ClientBounds:
    """Returns the bounds for a machine.

    Args:
        memory_mb: Its memory; 0 if it is unknown.
        max_fds: Its limit on descriptors; 0 if it is unknown.
    """
    free_mb = (memory_mb or DEFAULT_MEMORY_MB) - OWN_MEMORY_MB
    sockets = (max_fds or DEFAULT_MAX_FDS) - FILE_DESCRIPTORS - OWN_SOCKETS
    return ClientBounds(
        held_bytes=max(
            MIN_CLIENT_BYTES, int(free_mb * BYTES_PER_MB * CLIENT_SHARE)
        ),
        caller_connections=_share(sockets, CALLER_SHARE),
        own_connections=_share(sockets, OWN_LISTENER_SHARE),
        handshakes=_share(sockets, HANDSHAKE_SHARE),
        links=_share(sockets, LINK_SHARE) if max_fds else MAX_LINKS,
    )


def _share(sockets: int, share: float) -> int:
    return max(MIN_CONNECTIONS, int(sockets * share))
