"""How reads are retried."""

import typing


class RetryPolicy(typing.NamedTuple):
    """How reads are retried.

    Attributes:
        name: Name within the profile.
        max_attempts: Attempts of one call, the first included.
        budget_permille: Retries allowed for 1,000 calls.
    """

    name: str
    max_attempts: int = 2
    budget_permille: int = 100
