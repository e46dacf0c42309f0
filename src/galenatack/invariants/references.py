"""Invariant 2: every reference of a routing snapshot resolves in it."""

import typing

from galenatack import exceptions
from galenatack.invariants import violations


class UnresolvedReferenceError(exceptions.InvariantViolationError):
    """A route refers to a target or resource that the node lacks."""

    code = "invariant-references"


def check(snapshot: typing.Any) -> bool:
    """Returns True if all references of a snapshot resolve.

    Args:
        snapshot: A `routing.snapshot.RoutingSnapshot`.

    Raises:
        UnresolvedReferenceError: A reference does not resolve and the mode is
            `raise`.
    """
    missing = tuple(
        f"{name}: {reference}"
        for name, table in sorted(snapshot.services.items())
        for reference in _unresolved(table)
    )
    if not missing:
        return True
    violations.report(
        UnresolvedReferenceError("unresolved references", missing=missing)
    )
    return False


def _unresolved(table: typing.Any) -> list[str]:
    missing = []
    for route in table.routes:
        pool = table.pools.get(route.pool)
        if pool is None:
            missing.append(f"route {route.name}: pool {route.pool}")
        elif pool.version not in table.members:
            missing.append(f"pool {pool.name}: version {pool.version}")
        if route.retry_policy not in table.retry_policies:
            missing.append(
                f"route {route.name}: retry policy {route.retry_policy}"
            )
    move = table.move
    if move is not None:
        for version in (move.from_version, move.to_version):
            if version not in table.members:
                missing.append(f"move {move.move_id}: version {version}")
    return missing
