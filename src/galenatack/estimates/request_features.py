"""What a node sees of a request that may tell what it costs."""

import typing

from galenatack.model import caller_request
from galenatack.model import host_route

MAX_NAME_LENGTH = 24
"""A longer path segment is taken for an identifier."""

IDENTIFIER = "#"

_SIZE_BITS_PER_CLASS = 3


class RequestFeatures(typing.NamedTuple):
    """What a node sees of a request that may tell what it costs.

    Attributes:
        method: HTTP method.
        size: Size class of the body; each one is eight times as large as the
            one before.
        tenant: Name of the tenant; empty without one.
        part: First path segment after the prefix of the route.
        parts: First two path segments after the prefix of the route.
    """

    method: str
    size: str
    tenant: str
    part: str
    parts: str


def of(
    request: caller_request.CallerRequest,
    route: host_route.HostRoute,
    tenant: str = "",
) -> RequestFeatures:
    """Returns the features of a request on its route."""
    path = request.path.partition("?")[0].removeprefix(route.path_prefix)
    first, _, rest = path.partition("/")
    part = _name(first)
    return RequestFeatures(
        method=request.method,
        size=str(len(request.body).bit_length() // _SIZE_BITS_PER_CLASS),
        tenant=tenant,
        part=part,
        parts=f"{part}/{_name(rest.partition('/')[0])}",
    )


def _name(segment: str) -> str:
    """Returns a segment; identifiers count as one value."""
    if segment.isdigit() or len(segment) > MAX_NAME_LENGTH:
        return IDENTIFIER
    return segment
