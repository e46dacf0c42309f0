"""An immutable routing state; a call uses one snapshot throughout."""

import collections.abc
import typing

from galenatack.routing import service_table


class RoutingSnapshot(typing.NamedTuple):
    """An immutable routing state.

    Attributes:
        services: Routing tables by service name.
    """

    services: collections.abc.Mapping[str, service_table.ServiceTable]


EMPTY = RoutingSnapshot({})
