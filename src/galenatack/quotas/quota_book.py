"""The quotas of the configuration in force."""

import collections.abc
import functools
import hashlib

from galenatack.quotas import quota_terms
from galenatack.settings import fleet_bounds
from galenatack.tenants import tenant_table

GROUPS = 4
"""Number of owners of quotas. Each node asks each of them regularly, also
without requests of its tenants, so that fewer cost less; a dead one takes the
quotas of fewer tenants with it if there are more. Part of the protocol: nodes
that count other groups would lend a share twice."""

InForce = collections.abc.Callable[[], tenant_table.TenantTable | None]


@functools.lru_cache(maxsize=4096)
def group_of(tenant: str) -> int:
    """Returns the group of a tenant; each group has one owner."""
    digest = hashlib.blake2b(tenant.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % GROUPS


class QuotaBook:
    """Returns the quotas of the configuration in force.

    Args:
        in_force: Returns the tenants in force; None without tenants.
        bounds: Bound of the deployment.
    """

    def __init__(self, *, in_force: InForce, bounds: fleet_bounds.FleetBounds):
        self._in_force = in_force
        self._bounds = bounds
        self._table: tenant_table.TenantTable | None = None
        self._terms: dict[str, quota_terms.QuotaTerms] = {}
        self._groups: frozenset[int] = frozenset()

    def apply(self, bounds: fleet_bounds.FleetBounds) -> None:
        """Puts changed bounds in force."""
        self._bounds = bounds
        self._table = None
        self._terms = {}
        self._groups = frozenset()

    def terms(self, tenant: str) -> quota_terms.QuotaTerms | None:
        """Returns the terms of a tenant; None if it has no limit."""
        self._refresh()
        return self._terms.get(tenant)

    def tenants(self) -> tuple[str, ...]:
        """Returns the names of the tenants with a limit."""
        self._refresh()
        return tuple(self._terms)

    def groups(self) -> frozenset[int]:
        """Returns the groups that have a tenant with a limit."""
        self._refresh()
        return self._groups

    def _refresh(self) -> None:
        table = self._in_force()
        if table is self._table:
            return
        tenants = () if table is None else table.by_name.values()
        by_name = {t.name: quota_terms.of(t, self._bounds) for t in tenants}
        self._terms = {name: t for name, t in by_name.items() if t is not None}
        self._groups = frozenset(group_of(name) for name in self._terms)
        # Last, so that a failure shows again with the next request.
        self._table = table
