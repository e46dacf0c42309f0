"""Retry policy for reads."""

import typing


class RetryPolicy(typing.NamedTuple):
    """Retry policy for reads.

    Attributes:
        name: Name within the profile.
        max_attempts: Maximum number of attempts of one call, including the
            first.
        budget_permille: Retry budget: retries allowed for each 1,000 calls.
    """

    name: str
    max_attempts: int = 2
    budget_permille: int = 100
