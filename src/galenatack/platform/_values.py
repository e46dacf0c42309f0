"""Validates single values in documents of the platform."""

import re
import reprlib
import typing

from galenatack import exceptions

_DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")
_MS_PER_S = 1000
_MAX_DURATION_MS = 10**12
_MISSING = object()

_MAX_WHOLE_FLOAT = 2.0**53
"""Above it, numbers with a decimal point are not exact."""


def duration_ms(value: typing.Any) -> int:
    """Parses a text such as `1500ms` or `2.5s` into milliseconds.

    Raises:
        ValueError: The value is not such a text.
    """
    match = _DURATION.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise ValueError("a number with ms or s")
    factor = _MS_PER_S if match[2] == "s" else 1
    value_ms = float(match[1]) * factor
    if value_ms > _MAX_DURATION_MS:
        raise ValueError("a duration of less than 30 years")
    return round(value_ms)


def text(value: typing.Any) -> str:
    """Returns a non-empty text.

    Raises:
        ValueError: The value is not a non-empty text.
    """
    if not isinstance(value, str) or not value:
        raise ValueError("a text that is not empty")
    return value


def host(name: str) -> str:
    """Returns a host name in lower case, without the label of the root."""
    return name.lower().removesuffix(".")


def flag(value: typing.Any) -> bool:
    """Returns a truth value.

    Raises:
        ValueError: The value is neither true nor false.
    """
    if type(value) is not bool:
        raise ValueError("true or false")
    return value


def non_negative_int(value: typing.Any) -> int:
    """Returns a non-negative integer.

    Raises:
        ValueError: The value is not a non-negative integer.
    """
    if type(value) is not int or value < 0:
        raise ValueError("a whole number")
    return value


def whole_number(value: typing.Any) -> int:
    """Returns a non-negative integer, also from a number such as 2.0.

    JSON does not tell the two apart.

    Raises:
        ValueError: The value is not a non-negative whole number.
    """
    is_float = type(value) is float and value <= _MAX_WHOLE_FLOAT
    if is_float and value.is_integer():
        value = int(value)
    return non_negative_int(value)


def non_negative_number(value: typing.Any) -> float:
    """Returns a non-negative number.

    Raises:
        ValueError: The value is not a non-negative number.
    """
    if type(value) not in (int, float) or value < 0:
        raise ValueError("a number that is not negative")
    return value


def field(
    document: typing.Any,
    name: str,
    check: typing.Callable[[typing.Any], typing.Any],
    default: typing.Any = _MISSING,
) -> typing.Any:
    """Returns a validated field, or the default if it is missing or null.

    Raises:
        exceptions.DocumentError: The field is missing without a default, or
            the check rejects it.
    """
    if not isinstance(document, dict):
        raise exceptions.DocumentError(f"{name}: the document is no mapping")
    value = document.get(name)
    if value is None:
        if default is _MISSING:
            raise exceptions.DocumentError(f"{name}: missing")
        return default
    try:
        return check(value)
    except (ValueError, TypeError, OverflowError) as error:
        # The value may be nested deeply.
        raise exceptions.DocumentError(
            f"{name}: expected {error}, got {reprlib.repr(value)}"
        ) from error
