"""A service that gets a share of a route's calls."""

import typing


class WeightedService(typing.NamedTuple):
    """A service that gets a share of a route's calls.

    Attributes:
        service: Name of the service.
        weight: Weight of its share, relative to the other weights of the
            route.
    """

    service: str
    weight: float
