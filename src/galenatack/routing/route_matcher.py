"""Finds the route of a call."""

from galenatack import exceptions
from galenatack.model import route as route_module
from galenatack.routing import service_table


def match(
    table: service_table.ServiceTable, *, method: str, path: str
) -> route_module.Route:
    """Returns the route with the longest prefix that allows the method.

    A prefix matches whole path segments.

    Args:
        table: Table of the service; its routes are longest prefix first.
        method: HTTP method in upper case.
        path: Path and query after the service name.

    Raises:
        exceptions.NoRouteError: No route matches.
    """
    bare_path = path.partition("?")[0]
    for route in table.routes:
        if method in route.methods and _matches(route.prefix, bare_path):
            return route
    raise exceptions.NoRouteError(
        f"no route of {table.service} for {method} {bare_path}"
    )


def _matches(prefix: str, path: str) -> bool:
    if not path.startswith(prefix):
        return False
    if prefix.endswith("/") or len(path) == len(prefix):
        return True
    return path[len(prefix)] == "/"
