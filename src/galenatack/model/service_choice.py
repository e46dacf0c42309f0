"""Which profile and target version a service runs under."""

import typing


class ServiceChoice(typing.NamedTuple):
    """Which profile and target version a service runs under.

    Attributes:
        service: Name of the service.
        profile: Name of the chosen profile.
        version: Target version that takes the traffic outside of a move.
    """

    service: str
    profile: str
    version: str
