"""The routing table of one service."""

import collections.abc
import typing

from galenatack.model import limits
from galenatack.model import move_state
from galenatack.model import pool
from galenatack.model import retry_policy
from galenatack.model import route
from galenatack.routing import target_member

CURRENT = "current"


class ServiceTable(typing.NamedTuple):
    """The routing table of one service.

    Attributes:
        service: Name of the service.
        profile: Name of the profile in force.
        version: Target version when no move is running.
        routes: Routes, longest prefix first.
        pools: Pools by name; `current` is resolved to a version.
        moving_pools: Names of the pools whose version a move changes.
        retry_policies: Retry policies by name.
        members: Targets by version; every version has an entry.
        nodes: All nodes of the service that may still answer, by node id. A
            leaving node still has the recorded postings of its tickets.
        limits: Limits of calls.
        move: The running move, or None.
    """

    service: str
    profile: str
    version: str
    routes: tuple[route.Route, ...]
    pools: collections.abc.Mapping[str, pool.Pool]
    moving_pools: frozenset[str]
    retry_policies: collections.abc.Mapping[str, retry_policy.RetryPolicy]
    members: collections.abc.Mapping[
        str, tuple[target_member.TargetMember, ...]
    ]
    nodes: collections.abc.Mapping[str, target_member.TargetMember]
    limits: limits.Limits
    move: move_state.MoveState | None
