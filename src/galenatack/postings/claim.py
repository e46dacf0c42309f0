"""The value of a claim row."""

import hashlib
import typing


class Claim(typing.NamedTuple):
    """The value of a claim row.

    Attributes:
        node_id: Owner: the node that made the claim.
        incarnation: Incarnation of the owner.
        attempt: Attempt that the claim is for.
        fingerprint: Identifies service, method, path and body.
        made_ms: Creation time, wall clock in milliseconds.
    """

    node_id: str
    incarnation: int
    attempt: str
    fingerprint: str
    made_ms: int


def row_key(service: str, key: str) -> str:
    """Returns the key of the claim row of a posting."""
    digest = hashlib.sha256(key.encode()).hexdigest()
    return f"claim/{service}/{digest}"


def to_value(claim: Claim) -> dict[str, object]:
    """Returns the JSON value of the row."""
    return {
        "node": claim.node_id,
        "incarnation": claim.incarnation,
        "attempt": claim.attempt,
        "request": claim.fingerprint,
        "made_ms": claim.made_ms,
    }


def from_value(value: object) -> Claim:
    """Parses the JSON value of a row.

    Missing fields are read as empty. A damaged row thus still counts as a claim
    without an owner, and its key does not run.
    """
    fields = value if isinstance(value, dict) else {}
    return Claim(
        node_id=str(fields.get("node", "")),
        incarnation=_integer(fields.get("incarnation")),
        attempt=str(fields.get("attempt", "")),
        fingerprint=str(fields.get("request", "")),
        made_ms=_integer(fields.get("made_ms")),
    )


def _integer(value: object) -> int:
    return value if isinstance(value, int) else 0
