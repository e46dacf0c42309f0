"""What a node asks for the requests of one tenant."""

import typing


class QuotaNeed(typing.NamedTuple):
    """What a node asks for the requests of one tenant.

    Attributes:
        tenant: Name of the tenant.
        used: Reserved tokens that were used since the last report.
        returned: Reserved tokens that were given up since, and are not used.
        waiting: Requests that wait for a token each.
        wanted: Tokens to reserve for requests that are expected.
        standing: Tokens to reserve although no requests are expected, if
            there are plenty.
        is_short: True if requests were refused since the last reply.
        demand_per_s: Recent rate of its requests at the node.
    """

    tenant: str
    used: int
    returned: int
    waiting: int
    wanted: int
    standing: int
    is_short: bool
    demand_per_s: float
