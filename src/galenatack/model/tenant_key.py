"""Digests of tenants' keys, which nodes keep instead of the keys."""

import hashlib


def digest(key: str) -> bytes:
    """Returns the SHA-256 of a key.

    Keys are random texts of the operator, so that a digest without a salt
    cannot be reversed by a list of likely ones.
    """
    return hashlib.sha256(key.encode("utf-8", "surrogatepass")).digest()
