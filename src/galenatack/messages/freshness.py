"""Tells how current a node's configuration is."""

import typing


class Freshness(typing.NamedTuple):
    """Tells how current a node's configuration is.

    Attributes:
        age_ms: Time since the sender's configuration was known to be the one
            of the store, rounded up; -1 if it never was.
        version: Version of that configuration, or of a newer one.
    """

    age_ms: int
    version: int
