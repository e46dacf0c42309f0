"""Converts data types to plain JSON values."""

import enum
import json
import typing


def to_plain(value: typing.Any) -> typing.Any:
    """Returns `value` with NamedTuples converted to dicts, recursively."""
    if hasattr(value, "_asdict"):
        return {key: to_plain(item) for key, item in value._asdict().items()}
    if isinstance(value, dict):
        return {str(key): to_plain(item) for key, item in value.items()}
    if isinstance(value, list | tuple | frozenset | set):
        return [to_plain(item) for item in value]
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, bytes):
        return value.decode("utf-8", "replace")
    return value


def dump(value: typing.Any) -> bytes:
    """Returns `value` as UTF-8 JSON."""
    return json.dumps(to_plain(value)).encode()
