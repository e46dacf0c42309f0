"""A profile version that a node could not run."""

import typing


class Rejection(typing.NamedTuple):
    """A profile version that a node could not run.

    Attributes:
        profile: Name of the profile.
        version: Rejected version.
        reason: Reason of the rejection, one sentence.
    """

    profile: str
    version: int
    reason: str
