"""What is known of the sender of an admitted request."""

import typing

from galenatack.model import host_route
from galenatack.model import tenant as tenant_model


class TenantPass(typing.NamedTuple):
    """What is known of the sender of an admitted request.

    Attributes:
        tenant: The tenant at the arrival of the request; None on an anonymous
            route.
        key_digest: Digest of its key; empty on an anonymous route.
    """

    tenant: tenant_model.Tenant | None = None
    key_digest: bytes = b""

    @property
    def name(self) -> str:
        """Name of the tenant; empty on an anonymous route."""
        return "" if self.tenant is None else self.tenant.name


ANONYMOUS = TenantPass()


def route_for(
    sender: TenantPass | None, route: host_route.HostRoute
) -> host_route.HostRoute:
    """Returns a route with the priority of the sender, if it has one."""
    if sender is None or sender.tenant is None:
        return route
    priority = sender.tenant.priority
    if priority is None or priority == route.priority:
        return route
    return route._replace(priority=priority)
