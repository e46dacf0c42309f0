"""Places plain keys on nodes by rendezvous hashing."""

import collections.abc
import hashlib

from galenatack import exceptions


def place(key: str, node_ids: collections.abc.Iterable[str]) -> str:
    """Returns the node with the highest hash for the key.

    All nodes with the same member list agree. A membership change moves only
    the keys of the node that joined or left.

    Raises:
        exceptions.NoTargetError: There are no nodes.
    """
    candidates = tuple(node_ids)
    if not candidates:
        raise exceptions.NoTargetError("no node takes postings")
    return max(candidates, key=lambda node_id: (_score(key, node_id), node_id))


def _score(key: str, node_id: str) -> bytes:
    salted = f"{len(node_id)}:{node_id}{key}"
    return hashlib.sha256(salted.encode()).digest()
