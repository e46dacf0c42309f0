"""When gates that refuse a route are expected to have room."""

import collections.abc
import typing

from galenatack.model import host_route
from galenatack.placement import gate_view


class Room(typing.NamedTuple):
    """When gates have room for further calls.

    Attributes:
        wait_ms: Wait at the gate that has room first, beyond what a call may
            wait for.
        interval_ms: Time after which any of the gates starts a further call.
    """

    wait_ms: float
    interval_ms: float


def of(
    views: collections.abc.Sequence[gate_view.GateView],
    slots: collections.abc.Sequence[int],
    *,
    route: host_route.HostRoute,
    now_s: float,
    tenant: str,
) -> Room:
    """Returns when the gates have room, by what they have reported.

    Args:
        views: Views of the gates.
        slots: Slots of their targets.
        route: Route of the refused call.
        now_s: Monotonic time now.
        tenant: Tenant of the refused call.
    """
    waits_ms, starts_per_ms = [], 0.0
    for view, each in zip(views, slots, strict=True):
        service_ms = view.times.expected_ms(route.name)
        usable = view.usable_slots(max(1, each), service_ms, now_s)
        wait_ms = view.wait_ms(
            route.name, usable, now_s, priority=route.priority, tenant=tenant
        )
        waits_ms.append(wait_ms)
        starts_per_ms += usable / max(1.0, service_ms)
    return Room(min(waits_ms), 1.0 / starts_per_ms)
