"""A route of a profile, which maps calls to a pool."""

import typing


class Route(typing.NamedTuple):
    """A route of a profile, which maps calls to a pool.

    Attributes:
        name: Name within the profile.
        prefix: Path prefix after the service name, with a leading slash.
        methods: HTTP methods in upper case.
        pool: Name of a pool of the same profile.
        retry_policy: Name of a retry policy of the same profile.
        posting: True if a call has an effect and runs at most once.
        timeout_ms: Deadline of calls that do not specify one.
    """

    name: str
    prefix: str
    methods: tuple[str, ...]
    pool: str
    retry_policy: str
    posting: bool = False
    timeout_ms: int = 2000
