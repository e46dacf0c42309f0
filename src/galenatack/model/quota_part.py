"""What a node gets for the requests of one tenant."""

import typing


class QuotaPart(typing.NamedTuple):
    """What a node gets for the requests of one tenant.

    Attributes:
        tenant: Name of the tenant.
        direct: Tokens for waiting requests, which count as used.
        reserved: Tokens for later requests, until they expire.
        pressure: Demand at all nodes as a multiple of the rate.
    """

    tenant: str
    direct: int
    reserved: int
    pressure: float
