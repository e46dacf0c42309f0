"""A named set of targets of one service, by version."""

import typing


class Pool(typing.NamedTuple):
    """A named set of targets of one service, by version.

    Attributes:
        name: Name within the profile.
        version: A target version, or `current` for the service's own
            version, which moves shift.
    """

    name: str
    version: str
