"""Grants tokens to a node."""

import typing

from galenatack.model import quota_part


class QuotaGrant(typing.NamedTuple):
    """Grants tokens to a node.

    Attributes:
        stamp_ms: Time on the sender's monotonic clock.
        nodes: Number of nodes that share the quotas, as the sender or one that
            has lent it a share knows.
        parts: Tokens by tenant, in the order of the needs.
    """

    stamp_ms: int
    nodes: int
    parts: tuple[quota_part.QuotaPart, ...]
