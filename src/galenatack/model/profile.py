"""Routes, pools, limits and move policy of one service."""

import typing

from galenatack.model import limits
from galenatack.model import move_policy
from galenatack.model import pool
from galenatack.model import retry_policy
from galenatack.model import route


class Profile(typing.NamedTuple):
    """Routes, pools, limits and move policy of one service.

    Attributes:
        name: Name, unique in the deployment.
        service: The service that may choose this profile.
        versions: Target versions that may be chosen with the profile.
        pools: Pools that routes refer to.
        retry_policies: Retry policies that routes refer to.
        routes: Routes; the longest matching prefix wins.
        limits: Limits on calls.
        move_policy: Policy by which moves are judged.
    """

    name: str
    service: str
    versions: tuple[str, ...]
    pools: tuple[pool.Pool, ...]
    retry_policies: tuple[retry_policy.RetryPolicy, ...]
    routes: tuple[route.Route, ...]
    limits: limits.Limits
    move_policy: move_policy.MovePolicy
