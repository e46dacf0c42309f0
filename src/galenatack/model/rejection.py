"""A profile version that a node could not run."""

import typing


class Rejection(typing.NamedTuple):
    """A profile version that a node could not run.

    Attributes:
        profile: Name of the profile.
        version: Rejected version.
        reason: One sentence.
    """

    profile: str
    version: int
    reason: str
