"""Profiles for tests."""

import json
import typing


def fields(
    name: str = "prices-normal",
    *,
    service: str = "prices",
    versions: tuple[str, ...] = ("v1", "v2"),
    timeout_ms: int = 2000,
) -> dict[str, typing.Any]:
    """Returns a valid profile as a JSON object."""
    return {
        "name": name,
        "service": service,
        "versions": list(versions),
        "pools": [{"name": "main", "version": "current"}],
        "retry_policies": [{"name": "reads", "max_attempts": 2}],
        "routes": [
            {
                "name": "read",
                "prefix": "/",
                "methods": ["GET"],
                "pool": "main",
                "retry_policy": "reads",
                "timeout_ms": timeout_ms,
            },
            {
                "name": "offers",
                "prefix": "/offers",
                "methods": ["POST"],
                "pool": "main",
                "retry_policy": "reads",
                "posting": True,
            },
        ],
    }


def body(name: str = "prices-normal", **changes: typing.Any) -> bytes:
    """Returns a valid profile as JSON; `changes` as in `fields`."""
    return encode(fields(name, **changes))


def encode(profile: dict[str, typing.Any]) -> bytes:
    """Returns a profile's JSON."""
    return json.dumps(profile).encode()
