"""Validators for decoded values, built once from type annotations."""

import collections.abc
import functools
import math
import types
import typing

Check = collections.abc.Callable[[typing.Any], typing.Any]

MAX_TEXT_CHARACTERS = 64 * 1024
"""Maximum string length; the longest field is a path with its query."""

MAX_ITEMS = 16 * 1024
"""Maximum array length: four times the member table at the design scale."""

MIN_INTEGER = -(1 << 63)
MAX_INTEGER = (1 << 64) - 1


def _check_text(value: typing.Any) -> str:
    if type(value) is not str or len(value) > MAX_TEXT_CHARACTERS:
        raise ValueError("text expected")
    return value


def _check_integer(value: typing.Any) -> int:
    if type(value) is not int or not MIN_INTEGER <= value <= MAX_INTEGER:
        raise ValueError("64-bit integer expected")
    return value


def _check_number(value: typing.Any) -> float:
    if type(value) not in (int, float) or not math.isfinite(value):
        raise ValueError("finite number expected")
    return float(value)


def _check_exact_type(kind: type, value: typing.Any) -> typing.Any:
    if type(value) is not kind:
        raise ValueError(f"{kind.__name__} expected")
    return value


def _check_optional(check: Check, value: typing.Any) -> typing.Any:
    return None if value is None else check(value)


def _check_array(check: Check, value: typing.Any) -> tuple[typing.Any, ...]:
    if type(value) is not list or len(value) > MAX_ITEMS:
        raise ValueError("array expected")
    return tuple([check(item) for item in value])


def _check_fixed_length(
    checks: tuple[Check, ...], value: typing.Any
) -> tuple[typing.Any, ...]:
    if type(value) is not list or len(value) != len(checks):
        raise ValueError(f"array of {len(checks)} expected")
    return tuple(
        [check(item) for check, item in zip(checks, value, strict=True)]
    )


def _check_record(
    kind: type,
    checks: tuple[Check, ...],
    required: int,
    value: typing.Any,
) -> typing.Any:
    if type(value) is not list or len(value) < required:
        raise ValueError(f"fields of {kind.__name__} expected")
    # Fields are only ever appended: an older peer omits the last ones, and
    # those that a newer peer adds are ignored.
    return kind(
        *[check(item) for check, item in zip(checks, value, strict=False)]
    )


def _build_generic(hint: typing.Any) -> Check:
    arguments = typing.get_args(hint)
    origin = typing.get_origin(hint)
    if origin in (types.UnionType, typing.Union):
        inner = next(item for item in arguments if item is not type(None))
        return functools.partial(_check_optional, build(inner))
    if origin is tuple and arguments[-1] is Ellipsis:
        return functools.partial(_check_array, build(arguments[0]))
    if origin is tuple:
        return functools.partial(
            _check_fixed_length, tuple(build(item) for item in arguments)
        )
    raise TypeError(f"no check for {hint}")


@functools.cache
def build(hint: typing.Any) -> Check:
    """Returns the validator for an annotation.

    The validator returns the value with arrays converted to the annotated
    tuples, or raises ValueError.

    Args:
        hint: `str`, `int`, `float`, `bool`, `bytes`, a NamedTuple type, a
            tuple or an optional of these.
    """
    if hint is str:
        return _check_text
    if hint is int:
        return _check_integer
    if hint is float:
        return _check_number
    if hint in (bool, bytes):
        return functools.partial(_check_exact_type, hint)
    if not hasattr(hint, "_fields"):
        return _build_generic(hint)
    hints = typing.get_type_hints(hint)
    checks = tuple(build(hints[name]) for name in hint._fields)
    required = len(checks) - len(hint._field_defaults)
    return functools.partial(_check_record, hint, checks, required)
