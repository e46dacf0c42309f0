"""A tenant of the deployment, whose callers are known by their keys."""

import typing


class Tenant(typing.NamedTuple):
    """A tenant of the deployment, whose callers are known by their keys.

    Attributes:
        name: Name of the tenant, which targets are told.
        key_digests: SHA-256 of each of its keys; nodes keep no key.
        priority: Priority of its requests under load, in place of that of the
            route; None for the priority of the route.
        rate_per_s: Requests per second that run on all nodes together; 0
            without a limit.
        burst: Requests beyond the rate that may run at once.
        home_regions: Regions whose targets may run its requests; empty for
            all.
    """

    name: str
    key_digests: tuple[bytes, ...]
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    home_regions: tuple[str, ...] = ()
