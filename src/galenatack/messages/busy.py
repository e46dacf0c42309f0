"""Refuses a request for now."""

import typing


class Busy(typing.NamedTuple):
    """Refuses a request for now.

    Attributes:
        retry_after_ms: When to ask again.
    """

    retry_after_ms: int
