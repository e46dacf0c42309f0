"""A named set of targets of one service, by version."""

import typing


class Pool(typing.NamedTuple):
    """A named set of targets of one service, by version.

    Attributes:
        name: Name within the profile.
        version: A target version, or `current` for the chosen version of the
            service, which moves change.
    """

    name: str
    version: str
