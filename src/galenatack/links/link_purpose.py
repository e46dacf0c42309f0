"""Purposes of links."""

import enum


class LinkPurpose(enum.StrEnum):
    """Purpose of a link, as declared in `Hello`."""

    OVERLAY = "overlay"
    CARRIER = "carrier"
    CALLS = "calls"
    DIRECT = "direct"


PERSISTENT = frozenset({LinkPurpose.OVERLAY, LinkPurpose.CARRIER})
"""Purposes whose links stay open and carry broadcasts."""
