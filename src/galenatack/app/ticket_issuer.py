"""Issues tickets for a service."""

from galenatack import exceptions
from galenatack.postings import ticket_codec
from galenatack.routing import balancer as balancer_module
from galenatack.routing import service_table
from galenatack.routing import snapshot_holder
from galenatack.routing import target_chooser


class TicketIssuer:
    """Binds each ticket to one target, chosen as for a call.

    Args:
        holder: Provides the current snapshot.
        balancer: Chooses among the targets of one version.
        version_picker: Picks the version during a move.
        tickets: Signs the tickets.
    """

    def __init__(
        self,
        *,
        holder: snapshot_holder.SnapshotHolder,
        balancer: balancer_module.Balancer,
        version_picker: target_chooser.VersionPicker,
        tickets: ticket_codec.TicketCodec,
    ):
        self._holder = holder
        self._balancer = balancer
        self._version_picker = version_picker
        self._tickets = tickets

    def issue(self, service: str) -> str:
        """Returns a ticket key for one posting.

        Raises:
            exceptions.NoRouteError: The service is unknown.
            exceptions.CallError: No target can accept a posting now.
        """
        table = self._holder.current.services.get(service)
        if table is None:
            raise exceptions.NoRouteError(f"no service {service}")
        version = table.version
        if table.move is not None:
            counts = {
                version: len(members)
                for version, members in table.members.items()
            }
            version = self._version_picker(
                table.move, counts, route=_posting_route(table)
            )
        member = self._balancer.choose(
            table.members[version],
            slow_start_ms=table.limits.slow_start_ms,
            may_cross=True,
        )
        return self._tickets.issue(member.node_id, member.incarnation)


def _posting_route(table: service_table.ServiceTable) -> str:
    """Returns the first posting route, the likeliest use of a ticket."""
    names = [route.name for route in table.routes if route.posting]
    return names[0] if names else ""
