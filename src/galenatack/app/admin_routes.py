"""The routes of the admin API."""

import re

from galenatack.app import admin_operations
from galenatack.links import admin_route

_BASE = "/admin/v1"
_NAME = "[^/]+"


def routes(
    operations: admin_operations.AdminOperations,
) -> tuple[admin_route.AdminRoute, ...]:
    """Returns all routes, in the order in which they are tried."""
    profile = f"{_BASE}/profiles/(?P<name>{_NAME})"
    service = f"{_BASE}/services/(?P<service>{_NAME})"
    move = f"{_BASE}/moves/(?P<service>{_NAME})"
    table = (
        ("GET", "/healthz", "public", operations.healthz),
        ("GET", "/readyz", "public", operations.readyz),
        ("GET", "/metrics", "public", operations.metrics),
        ("GET", f"{_BASE}/node", "viewer", operations.node),
        ("GET", f"{_BASE}/status", "viewer", operations.status),
        ("GET", f"{_BASE}/events", "viewer", operations.events),
        ("GET", f"{_BASE}/profiles", "viewer", operations.profiles),
        ("GET", profile, "viewer", operations.profile),
        ("POST", f"{_BASE}/profiles", "operator", operations.publish),
        ("GET", f"{_BASE}/services", "viewer", operations.services),
        ("POST", service, "operator", operations.choose),
        ("POST", f"{_BASE}/moves", "operator", operations.start_move),
        ("GET", move, "viewer", operations.move),
        ("DELETE", move, "operator", operations.cancel_move),
        (
            "POST",
            f"{_BASE}/target/leaving",
            "operator",
            operations.target_leaving,
        ),
        ("POST", f"{_BASE}/faults", "operator", operations.inject_faults),
    )
    return tuple(
        admin_route.AdminRoute(method, re.compile(pattern), role, action)
        for method, pattern, role, action in table
    )
