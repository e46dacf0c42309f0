"""Parses and checks profiles, and serialises them as canonical JSON."""

import re

import yaml

from galenatack import exceptions
from galenatack.config import _checked_object
from galenatack.config import _json_input
from galenatack.config import canonical_json
from galenatack.model import limits
from galenatack.model import move_policy
from galenatack.model import pool
from galenatack.model import profile
from galenatack.model import retry_policy
from galenatack.model import route

CURRENT = "current"
LOW_TRAFFIC_VERDICTS = ("take_back", "done")
POSTING_METHODS = frozenset({"POST", "PUT", "PATCH", "DELETE"})
METHODS = POSTING_METHODS | {"GET", "HEAD", "OPTIONS"}

MAX_VERSIONS = 32
MAX_POOLS = 32
MAX_RETRY_POLICIES = 16
MAX_ROUTES = 128
MAX_ATTEMPTS = 5
MAX_TIMEOUT_MS = 600_000
MAX_QUEUE_ENTRIES = 10_000
MAX_CALL_BODY_BYTES = 2_097_152
MAX_CROSS_REGION_BYTES_PER_S = 1_000_000_000
MAX_SLOW_START_MS = 600_000
MAX_MIN_CALLS = 1_000_000
MAX_LATENCY_RATIO_PERMILLE = 100_000
MAX_WARM_MS = 3_600_000
PERMILLE = 1000

# Segments cannot be `.` or `..` or contain escapes or a query, so two prefixes
# are equal exactly when their texts are equal.
_PREFIX = re.compile(r"/|(?:/(?!\.{1,2}(?:/|$))[A-Za-z0-9._~-]{1,128}){1,16}/?")


def parse(body: bytes) -> profile.Profile:
    """Parses and checks a whole profile.

    Args:
        body: UTF-8 JSON.

    Raises:
        exceptions.ProfileInvalidError: The profile has errors; the message
            has one line for each, with the path of the field.
    """
    errors: list[str] = []
    root = _checked_object.CheckedObject(_json_input.load(body), "$", errors)
    result = profile.Profile(
        name=root.name("name"),
        service=root.name("service"),
        versions=root.names("versions", maximum=MAX_VERSIONS),
        pools=_pools(root),
        retry_policies=_retry_policies(root),
        routes=_routes(root),
        limits=_limits(root.child("limits")),
        move_policy=_move_policy(root.child("move_policy")),
    )
    root.finish()
    if not errors:
        errors.extend(_reference_errors(result))
        errors.extend(_route_errors(result.routes))
    if errors:
        raise exceptions.ProfileInvalidError("\n".join(errors))
    return result


def dump(value: profile.Profile) -> bytes:
    """Returns the canonical JSON of a profile."""
    return canonical_json.dump(
        {
            **value._asdict(),
            "pools": [item._asdict() for item in value.pools],
            "retry_policies": [item._asdict() for item in value.retry_policies],
            "routes": [item._asdict() for item in value.routes],
            "limits": value.limits._asdict(),
            "move_policy": value.move_policy._asdict(),
        }
    )


def json_from_yaml(text: str) -> bytes:
    """Converts an operator's YAML profile to JSON.

    Raises:
        exceptions.ProfileInvalidError: The text is too large, is not YAML, or
            contains aliases or values that JSON does not support.
    """
    if len(text) > _json_input.MAX_BODY_BYTES:
        raise exceptions.ProfileInvalidError(
            f"$: {len(text)} characters, at most"
            f" {_json_input.MAX_BODY_BYTES} allowed"
        )
    try:
        if any(
            isinstance(event, yaml.AliasEvent) for event in yaml.parse(text)
        ):
            raise exceptions.ProfileInvalidError("$: aliases are not allowed")
        return canonical_json.dump(yaml.safe_load(text))
    except (yaml.YAMLError, TypeError, ValueError, RecursionError) as error:
        reason = " ".join(str(error).split())
        raise exceptions.ProfileInvalidError(
            f"$: not valid YAML: {reason}"
        ) from error


def _pools(root: _checked_object.CheckedObject) -> tuple[pool.Pool, ...]:
    result = []
    for item in root.children("pools", maximum=MAX_POOLS):
        result.append(pool.Pool(item.name("name"), item.name("version")))
        item.finish()
    _check_unique(root, "pools", result)
    return tuple(result)


def _retry_policies(
    root: _checked_object.CheckedObject,
) -> tuple[retry_policy.RetryPolicy, ...]:
    result = []
    for item in root.children("retry_policies", maximum=MAX_RETRY_POLICIES):
        result.append(_retry_policy(item))
        item.finish()
    _check_unique(root, "retry_policies", result)
    return tuple(result)


def _retry_policy(
    item: _checked_object.CheckedObject,
) -> retry_policy.RetryPolicy:
    defaults = retry_policy.RetryPolicy("")
    return retry_policy.RetryPolicy(
        name=item.name("name"),
        max_attempts=item.integer(
            "max_attempts",
            low=1,
            high=MAX_ATTEMPTS,
            default=defaults.max_attempts,
        ),
        budget_permille=item.integer(
            "budget_permille",
            low=0,
            high=PERMILLE,
            default=defaults.budget_permille,
        ),
    )


def _routes(root: _checked_object.CheckedObject) -> tuple[route.Route, ...]:
    result = []
    for item in root.children("routes", maximum=MAX_ROUTES):
        result.append(_route(item))
        item.finish()
    _check_unique(root, "routes", result)
    return tuple(result)


def _route(item: _checked_object.CheckedObject) -> route.Route:
    return route.Route(
        name=item.name("name"),
        prefix=item.text("prefix", pattern=_PREFIX),
        methods=_methods(item),
        pool=item.name("pool"),
        retry_policy=item.name("retry_policy"),
        posting=item.boolean("posting", default=False),
        timeout_ms=item.integer(
            "timeout_ms",
            low=1,
            high=MAX_TIMEOUT_MS,
            default=route.Route._field_defaults["timeout_ms"],
        ),
    )


def _methods(item: _checked_object.CheckedObject) -> tuple[str, ...]:
    methods = item.items("methods", maximum=len(METHODS))
    for index, method in enumerate(methods):
        if not isinstance(method, str) or method not in METHODS:
            item.fail(f"methods[{index}]", "is not a known method")
        elif method in methods[:index]:
            item.fail(f"methods[{index}]", f"repeats {method!r}")
    return tuple(str(method) for method in methods)


def _limits(item: _checked_object.CheckedObject) -> limits.Limits:
    highest = limits.Limits(
        queue_entries=MAX_QUEUE_ENTRIES,
        max_body_bytes=MAX_CALL_BODY_BYTES,
        cross_region_bytes_per_s=MAX_CROSS_REGION_BYTES_PER_S,
        slow_start_ms=MAX_SLOW_START_MS,
    )
    defaults = limits.Limits()._asdict()
    fields = {
        name: item.integer(name, low=0, high=high, default=defaults[name])
        for name, high in highest._asdict().items()
    }
    item.finish()
    return limits.Limits(**fields)


def _move_policy(
    item: _checked_object.CheckedObject,
) -> move_policy.MovePolicy:
    highest = {
        "min_calls_per_route": MAX_MIN_CALLS,
        "error_margin_permille": PERMILLE,
        "latency_ratio_permille": MAX_LATENCY_RATIO_PERMILLE,
        "warm_ms": MAX_WARM_MS,
    }
    lowest = {"min_calls_per_route": 1, "latency_ratio_permille": PERMILLE}
    defaults = move_policy.MovePolicy()._asdict()
    fields = {
        name: item.integer(
            name, low=lowest.get(name, 0), high=high, default=defaults[name]
        )
        for name, high in highest.items()
    }
    verdict = item.one_of(
        "on_low_traffic",
        LOW_TRAFFIC_VERDICTS,
        default=defaults["on_low_traffic"],
    )
    item.finish()
    return move_policy.MovePolicy(on_low_traffic=verdict, **fields)


def _check_unique(
    root: _checked_object.CheckedObject, field: str, items: list
) -> None:
    names = [item.name for item in items]
    for index, name in enumerate(names):
        if name and name in names[:index]:
            root.fail(f"{field}[{index}].name", f"repeats {name!r}")


def _reference_errors(value: profile.Profile) -> list[str]:
    errors = []
    if CURRENT in value.versions:
        errors.append(f"$.versions: {CURRENT!r} is reserved")
    for index, item in enumerate(value.pools):
        if item.version not in (CURRENT, *value.versions):
            errors.append(
                f"$.pools[{index}].version: unknown version {item.version!r}"
            )
    pools = {item.name for item in value.pools}
    policies = {item.name for item in value.retry_policies}
    for index, item in enumerate(value.routes):
        path = f"$.routes[{index}]"
        if item.pool not in pools:
            errors.append(f"{path}.pool: no pool {item.pool!r}")
        if item.retry_policy not in policies:
            errors.append(
                f"{path}.retry_policy: no retry policy {item.retry_policy!r}"
            )
    return errors


def _route_errors(routes: tuple[route.Route, ...]) -> list[str]:
    errors = []
    seen: dict[tuple[str, str], str] = {}
    for index, item in enumerate(routes):
        path = f"$.routes[{index}]"
        if item.posting and not POSTING_METHODS.issuperset(item.methods):
            errors.append(f"{path}.posting: has methods that do not post")
        prefix = item.prefix.rstrip("/")
        for method in item.methods:
            other = seen.setdefault((prefix, method), item.name)
            if other != item.name:
                errors.append(
                    f"{path}.prefix: {method} {item.prefix} overlaps route"
                    f" {other!r}"
                )
    return errors
