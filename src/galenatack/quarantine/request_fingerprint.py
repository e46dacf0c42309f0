"""Fingerprints by which a repeated request is recognized."""

import collections.abc
import hashlib
import typing

HALF_BYTES = 8
"""Size of each half of a fingerprint."""

_IDENTITY_HEADERS = frozenset({"host", "authorization"})

Headers = collections.abc.Iterable[tuple[str, str]]


class Request(typing.Protocol):
    """The parts of a request that repetitions have in common."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


def of(request: Request) -> bytes:
    """Returns the fingerprint of a request.

    Repetitions have the same one: identifiers of attempts, deadlines and the
    node that takes the request are not part of it.
    """
    return of_head(request) + of_body(request)


def of_head(request: Request) -> bytes:
    """Returns the first half, from the caller, the method and the path."""
    parts = [request.method, request.path]
    for name, value in sorted(request.headers):
        if name in _IDENTITY_HEADERS:
            parts += (name, value)
    return _digest("\0".join(parts).encode("utf-8", "surrogateescape"))


def of_body(request: Request) -> bytes:
    """Returns the second half, from the body."""
    return _digest(request.body)


def _digest(data: bytes) -> bytes:
    return hashlib.blake2b(data, digest_size=HALF_BYTES).digest()
