"""Regions in which the calls of a route and a tenant may run."""

import collections.abc

from galenatack.model import host_route
from galenatack.model import member_record
from galenatack.model import tenant as tenant_module


def home_regions(
    route: host_route.HostRoute, tenant: tenant_module.Tenant | None
) -> frozenset[str] | None:
    """Returns the regions that both the route and the tenant permit.

    None means all regions. An empty set means none: the two have no region in
    common.
    """
    of_tenant = tenant.home_regions if tenant is not None else ()
    if not route.home_regions and not of_tenant:
        return None
    if not route.home_regions or not of_tenant:
        return frozenset(route.home_regions or of_tenant)
    return frozenset(route.home_regions) & frozenset(of_tenant)


def permitted(
    members: collections.abc.Sequence[member_record.MemberRecord],
    route: host_route.HostRoute,
    tenant: tenant_module.Tenant | None,
) -> collections.abc.Sequence[member_record.MemberRecord]:
    """Returns the members in regions where the calls may run."""
    regions = home_regions(route, tenant)
    if regions is None:
        return members
    return [member for member in members if member.region in regions]
