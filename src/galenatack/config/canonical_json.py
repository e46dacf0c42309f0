"""Canonical JSON, in which equal values have equal digests."""

import hashlib
import json


def dump(value: object) -> bytes:
    """Returns UTF-8 JSON with sorted keys and no white space."""
    return json.dumps(
        value, sort_keys=True, separators=(",", ":"), ensure_ascii=False
    ).encode()


def digest(body: bytes) -> str:
    """Returns the SHA-256 of a body, in hex."""
    return hashlib.sha256(body).hexdigest()
