"""What a link is for."""

import enum


class LinkPurpose(enum.StrEnum):
    """Purposes that `Hello` names."""

    OVERLAY = "overlay"
    CARRIER = "carrier"
    CALLS = "calls"
    DIRECT = "direct"


KEPT = frozenset({LinkPurpose.OVERLAY, LinkPurpose.CARRIER})
"""Purposes whose links are kept open and used by broadcasts."""
