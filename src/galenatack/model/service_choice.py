"""The profile and target version chosen for a service."""

import typing


class ServiceChoice(typing.NamedTuple):
    """The profile and target version chosen for a service.

    Attributes:
        service: Name of the service.
        profile: Name of the chosen profile.
        version: Target version that gets the traffic while no move runs.
    """

    service: str
    profile: str
    version: str
