"""Parses JSON documents that other programs wrote."""

import json
import math

from galenatack import exceptions

_MAX_INTEGER_DIGITS = 18


def load(body: bytes | str) -> object:
    """Parses a JSON document.

    Raises:
        exceptions.DocumentError: The document is not JSON, is nested too
            deeply, or has a number that no field can hold.
    """
    try:
        return json.loads(
            body,
            parse_int=_bounded_int,
            parse_float=_finite_float,
            parse_constant=_refuse_constant,
        )
    except (ValueError, RecursionError) as error:
        raise exceptions.DocumentError(f"not JSON: {error}") from error


def _bounded_int(text: str) -> int:
    if len(text) > _MAX_INTEGER_DIGITS:
        raise ValueError(f"number of {len(text)} digits")
    return int(text)


def _finite_float(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise ValueError("number out of range")
    return value


def _refuse_constant(text: str) -> object:
    raise ValueError(f"{text} is not allowed")
