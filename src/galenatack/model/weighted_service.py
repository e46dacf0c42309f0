"""A service that takes part of a route's calls."""

import typing


class WeightedService(typing.NamedTuple):
    """A service that takes part of a route's calls.

    Attributes:
        service: Name of the service.
        weight: Share, relative to the weights of the same route.
    """

    service: str
    weight: int
