"""Validates fields of operators' requests."""

import json
import typing

from galenatack import exceptions

MAX_INTEGER = 2**53
"""Some JSON parsers cannot represent larger integers exactly."""

_Json = dict[str, typing.Any]


def text(body: _Json, name: str) -> str:
    """Returns a non-empty text.

    Raises:
        exceptions.AdminRequestError: The field is missing, empty or of
            another type.
    """
    value = body.get(name)
    if not isinstance(value, str) or not value:
        raise exceptions.AdminRequestError(f"{name}: a non-empty text")
    return value


def integer(body: _Json, name: str) -> int:
    """Returns an integer from 0 to `MAX_INTEGER`.

    Raises:
        exceptions.AdminRequestError: The field is missing, of another type
            or out of range.
    """
    value = body.get(name)
    # JSON's true is an int in Python.
    if isinstance(value, bool) or not isinstance(value, int):
        raise exceptions.AdminRequestError(f"{name}: an integer")
    if not 0 <= value <= MAX_INTEGER:
        raise exceptions.AdminRequestError(f"{name}: from 0 to {MAX_INTEGER}")
    return value


def names(body: _Json, name: str) -> list[str]:
    """Returns a list of texts; a missing field is an empty list.

    Raises:
        exceptions.AdminRequestError: The field has another type.
    """
    value = body.get(name, [])
    if not isinstance(value, list) or not all(
        isinstance(item, str) for item in value
    ):
        raise exceptions.AdminRequestError(f"{name}: a list of texts")
    return value


def json_text(body: _Json, name: str) -> bytes:
    """Returns a field of any type as JSON.

    Raises:
        exceptions.AdminRequestError: The value is nested too deeply.
    """
    try:
        return json.dumps(body.get(name)).encode()
    except RecursionError as error:
        raise exceptions.AdminRequestError(f"{name}: too deep") from error
