"""What the nodes of a run of the overload benchmark tell each other."""

import typing


class Features(typing.NamedTuple):
    """What the nodes of a run tell each other.

    Attributes:
        waits: Whether gates report waits by priority.
        waited: Whether calls carry how long their request has waited.
        tenants: Whether calls carry their tenant.
    """

    waits: bool = True
    waited: bool = True
    tenants: bool = True


WITHOUT = {
    "nothing": Features(),
    "waits": Features(waits=False),
    "waited": Features(waited=False),
    "tenants": Features(tenants=False),
}
"""Features with one of them off, to see what it is good for."""
