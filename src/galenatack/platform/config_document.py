"""Decodes the operator's configuration.

A configuration may come from a newer release of the platform:

- Unknown fields are ignored.
- Calls of an unknown kind run at most once, which is safe for all kinds.
- A route without a service that has unknown fields has a destination that this
  release cannot serve. Its calls are refused; other routes are not affected.
- A malformed value of a known field refuses the configuration as a whole.
"""

import collections.abc
import functools
import json
import typing

from galenatack import exceptions
from galenatack import json_document
from galenatack.model import caller_limits
from galenatack.model import host_route
from galenatack.model import tenant
from galenatack.model import tenant_key
from galenatack.model import traffic_config
from galenatack.model import warm_up
from galenatack.model import weighted_service
from galenatack.platform import _values

TABLE = "op"
KEY = "config"

_IDEMPOTENT = "idempotent"
_KINDS = frozenset({_IDEMPOTENT, "non_idempotent", "upload"})
_ROUTE_FIELDS = frozenset(
    {
        "name",
        "host",
        "prefix",
        "kind",
        "timeout",
        "target_latency",
        "priority",
        "max_attempts",
        "service",
        "weighted_clusters",
        "anonymous",
        "allowed_regions",
    }
)
_DEFAULTS = caller_limits.CallerLimits()
_DEFAULT_TIMEOUT_MS = 10_000
_LAST_PRIORITY = 9
_SHOWN_CHARACTERS = 40

_Document = collections.abc.Mapping[str, typing.Any]


def decode(value: bytes) -> traffic_config.TrafficConfig:
    """Decodes the configuration of a row.

    Raises:
        exceptions.DocumentError: Any part is malformed.
    """
    document = json_document.load(value)
    try:
        return _decode(document)
    except RecursionError as error:
        raise exceptions.DocumentError("config: nested too deeply") from error


def _decode(document: typing.Any) -> traffic_config.TrafficConfig:
    services = {
        _values.field(row, "name", _values.text): row
        for row in _table(document, "services")
    }
    return traffic_config.TrafficConfig(
        version=_values.field(document, "version", _values.whole_number),
        routes=_routes(document),
        max_connections={
            name: _values.field(
                row, "max_connections", _values.whole_number, default=0
            )
            for name, row in services.items()
        },
        limits=_limits(_values.field(document, "limits", dict, default={})),
        tenants=_tenants(document),
        warm_ups={name: _warm_up(row) for name, row in services.items()},
    )


def _table(
    document: typing.Any, name: str
) -> collections.abc.Iterator[dict[str, typing.Any]]:
    """Yields the rows of a table as mappings by column name."""
    table = _values.field(document, name, dict)
    columns = _values.field(table, "columns", list)
    for row in _values.field(table, "rows", list):
        if not isinstance(row, list) or len(row) != len(columns):
            raise exceptions.DocumentError(f"{name}: row of another length")
        yield dict(zip(columns, row, strict=True))


def _warm_up(row: _Document) -> warm_up.WarmUp:
    return warm_up.WarmUp(
        duration_ms=_values.field(
            row, "warmup", _values.duration_ms, default=0
        ),
        rate_per_s=_values.field(
            row, "warmup_per_s", _values.non_negative_number, default=0.0
        ),
        probe_path=_values.field(row, "health_path", str, default=""),
    )


def _tenants(document: typing.Any) -> tuple[tenant.Tenant, ...] | None:
    if not isinstance(document, dict) or document.get("tenants") is None:
        return None
    try:
        return tuple(_tenant(row) for row in _table(document, "tenants"))
    except exceptions.DocumentError as error:
        # The malformed value may be a key, and errors are logged. The cause is
        # left out as well.
        text = str(error).partition(", got ")[0]
        raise exceptions.DocumentError(f"tenants: {text}") from None


def _tenant(row: _Document) -> tenant.Tenant:
    return tenant.Tenant(
        name=_values.field(row, "name", _encodable),
        key_digests=tuple(
            tenant_key.digest(key)
            for key in _values.field(row, "api_keys", _texts, ())
        ),
        priority=_values.field(row, "priority", _values.whole_number, None),
        rate_per_s=_values.field(
            row, "rate_per_s", _values.non_negative_number, 0.0
        ),
        burst=_values.field(row, "burst", _values.non_negative_number, 0.0),
        home_regions=_values.field(row, "allowed_regions", _texts, ()),
    )


def _encodable(value: typing.Any) -> str:
    """Returns a text without lone surrogates, which have no UTF-8."""
    text = _values.text(value)
    try:
        text.encode()
    except UnicodeEncodeError:
        raise ValueError("a text without lone surrogates") from None
    return text


def _routes(document: typing.Any) -> tuple[host_route.HostRoute, ...]:
    table = _values.field(document, "routes", dict)
    columns = _values.field(table, "columns", _texts)
    return tuple(
        _cached_route(columns, json.dumps(row))
        for row in _values.field(table, "rows", list)
    )


def _texts(value: typing.Any) -> tuple[str, ...]:
    if not isinstance(value, list):
        raise ValueError("a list of texts")
    return tuple(_values.text(item) for item in value)


# Cached because most routes do not change from one configuration to the next.
@functools.lru_cache(maxsize=4096)
def _cached_route(
    columns: tuple[str, ...], encoded: str
) -> host_route.HostRoute:
    """Decodes a row that is encoded as JSON.

    As a key, the text tells values apart that are equal, such as 1 and true.
    """
    values = json.loads(encoded)
    if not isinstance(values, list) or len(values) != len(columns):
        raise exceptions.DocumentError("routes: row of another length")
    return _route(dict(zip(columns, values, strict=True)))


def _route(row: _Document) -> host_route.HostRoute:
    timeout_ms = _values.field(
        row, "timeout", _values.duration_ms, default=_DEFAULT_TIMEOUT_MS
    )
    kind = _values.field(row, "kind", _values.text)
    services = _services(row)
    return host_route.HostRoute(
        name=_values.field(row, "name", _values.text),
        host=_values.host(_values.field(row, "host", _values.text)),
        path_prefix=_values.field(row, "prefix", _values.text),
        services=services,
        is_idempotent=kind == _IDEMPOTENT,
        timeout_ms=timeout_ms,
        target_latency_ms=_values.field(
            row, "target_latency", _values.duration_ms, default=0
        ),
        priority=_values.field(
            row, "priority", _values.whole_number, default=_LAST_PRIORITY
        ),
        max_attempts=max(
            1,
            _values.field(row, "max_attempts", _values.whole_number, default=1),
        ),
        unknowns=_unknowns(row, kind, services),
        is_anonymous=_values.field(row, "anonymous", _values.flag, False),
        home_regions=_values.field(row, "allowed_regions", _texts, ()),
    )


def _unknowns(
    row: _Document,
    kind: str,
    services: tuple[weighted_service.WeightedService, ...],
) -> tuple[str, ...]:
    """Returns the parts of a route that this release does not know."""
    unknowns = () if kind in _KINDS else (f"kind={kind[:_SHOWN_CHARACTERS]}",)
    return unknowns if services else (*unknowns, *_unknown_fields(row))


def _unknown_fields(row: _Document) -> list[str]:
    return sorted(
        str(name)[:_SHOWN_CHARACTERS]
        for name, value in row.items()
        if value is not None and name not in _ROUTE_FIELDS
    )


def _services(
    row: _Document,
) -> tuple[weighted_service.WeightedService, ...]:
    parts = _values.field(row, "weighted_clusters", list, default=[])
    if not parts:
        if row.get("service") is None and _unknown_fields(row):
            return ()
        only = _values.field(row, "service", _values.text)
        return (_weighted_service(only, 1),)
    weighted = tuple(
        _weighted_service(
            _values.field(part, "service", _values.text),
            _values.field(part, "weight", _values.non_negative_number),
        )
        for part in parts
    )
    if not any(part.weight for part in weighted):
        raise exceptions.DocumentError("weighted_clusters: no weight")
    return tuple(part for part in weighted if part.weight)


# Cached because routes share few services and weights; this saves memory.
@functools.lru_cache(maxsize=4096)
def _weighted_service(
    service: str, weight: float
) -> weighted_service.WeightedService:
    return weighted_service.WeightedService(service, weight)


def _limits(limits: _Document) -> caller_limits.CallerLimits:
    return caller_limits.CallerLimits(
        max_header_bytes=_values.field(
            limits,
            "max_header_bytes",
            _values.whole_number,
            _DEFAULTS.max_header_bytes,
        ),
        max_body_bytes=_values.field(
            limits,
            "max_body_bytes",
            _values.whole_number,
            _DEFAULTS.max_body_bytes,
        ),
        header_timeout_ms=_values.field(
            limits,
            "header_timeout",
            _values.duration_ms,
            _DEFAULTS.header_timeout_ms,
        ),
        idle_timeout_ms=_values.field(
            limits,
            "idle_timeout",
            _values.duration_ms,
            _DEFAULTS.idle_timeout_ms,
        ),
    )
