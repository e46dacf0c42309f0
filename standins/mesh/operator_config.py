"""Configurations in the format of the users' operators."""

import json

COLUMNS = [
    "name",
    "host",
    "prefix",
    "kind",
    "timeout",
    "target_latency",
    "priority",
    "max_attempts",
    "service",
]

TENANT_COLUMNS = ["name", "api_keys", "rate_per_s", "burst"]

MARK_HOST = "mark.example"


def config(
    version: int,
    services: set[str] | tuple[str, ...],
    *,
    kinds: tuple[str, ...] = ("idempotent", "non_idempotent"),
    mark: str = "",
    max_connections: int = 100,
    warmup_per_s: float = 0.0,
    tenants: tuple[tuple, ...] | None = None,
) -> bytes:
    """Returns a configuration with one route per service and kind.

    Args:
        version: Version of the configuration.
        services: Names; the host of a route is the name with `.example`.
        kinds: Kinds of routes; a route's prefix is its kind.
        mark: If set, adds a route that only this version has, to this service:
            on the host `MARK_HOST`, its prefix is the version.
        max_connections: Maximum number of connections to one target.
        warmup_per_s: Requests per second that a cold target takes; it is cold
            for 5 s after its start.
        tenants: Rows of tenants; None for a deployment without keys.
    """
    rows = [
        _row(f"{service}-{kind}", f"{service}.example", kind, kind, service)
        for service in services
        for kind in kinds
    ]
    if mark:
        name = f"v{version}"
        rows.append(_row(f"mark-{name}", MARK_HOST, name, kinds[0], mark))
    document = {"tenants": {"columns": TENANT_COLUMNS, "rows": tenants}}
    return json.dumps(
        ({} if tenants is None else document)
        | {
            "version": version,
            "routes": {"columns": COLUMNS, "rows": rows},
            "services": {
                "columns": [
                    "name",
                    "max_connections",
                    "health_path",
                    "warmup",
                    "warmup_per_s",
                ],
                "rows": [
                    [service, max_connections, "/health", "5s", warmup_per_s]
                    for service in services
                ],
            },
            "limits": {},
        }
    ).encode()


def _row(name: str, host: str, prefix: str, kind: str, service: str):
    return [name, host, f"/{prefix}/", kind, "2s", "1s", 1, 2, service]
