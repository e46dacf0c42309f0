"""Refusal of a request that may be retried later."""

import typing


class Busy(typing.NamedTuple):
    """Refuses a request because of load; the sender may retry it later.

    Attributes:
        retry_after_ms: Time to wait before the retry.
    """

    retry_after_ms: int
