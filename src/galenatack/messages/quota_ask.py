"""Asks the owner of some quotas for tokens."""

import typing

from galenatack.model import quota_need


class QuotaAsk(typing.NamedTuple):
    """Asks the owner of some quotas for tokens; answered by `QuotaGrant`.

    Attributes:
        group: Group of tenants that the receiver owns.
        nodes: Number of nodes that share the quotas, as the sender knows.
        stamp_ms: Stamp of the receiver's last reply. From it on, the sender
            lends its own share of the group's quotas; 0 lends nothing.
        pledge_ms: How long after the stamp the share is lent.
        is_release: True if the sender takes back what it has lent.
        needs: Needs by tenant.
    """

    group: int
    nodes: int
    stamp_ms: int
    pledge_ms: int
    is_release: bool
    needs: tuple[quota_need.QuotaNeed, ...]
