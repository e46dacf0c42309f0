"""Parses untrusted JSON with limits on its size and shape."""

import json
import typing

from galenatack import exceptions

# A profile of 64 routes takes about 12 KB. The limit leaves ample room, and a
# state of 570 profiles stays below the frame limit in practice.
MAX_BODY_BYTES = 131_072
MAX_DEPTH = 8
_MAX_NUMBER_DIGITS = 18


def load(body: bytes) -> object:
    """Parses a JSON body.

    Raises:
        exceptions.ProfileInvalidError: The body is too large or nested too
            deeply, is not UTF-8 JSON, or repeats a key within an object.
    """
    if len(body) > MAX_BODY_BYTES:
        raise exceptions.ProfileInvalidError(
            f"$: {len(body)} bytes, at most {MAX_BODY_BYTES} allowed"
        )
    try:
        value = json.loads(
            body.decode(),
            object_pairs_hook=_unique_keys,
            parse_constant=_refuse_constant,
            parse_int=_bounded_int,
        )
    except (ValueError, RecursionError) as error:
        raise exceptions.ProfileInvalidError(
            f"$: not valid JSON: {error}"
        ) from error
    check_depth(value)
    return value


def check_depth(value: object) -> None:
    """Checks the nesting depth of a value.

    Raises:
        exceptions.ProfileInvalidError: The value is nested too deeply.
    """
    level = [value]
    for _ in range(MAX_DEPTH):
        level = [child for item in level for child in _children(item)]
        if not level:
            return
    raise exceptions.ProfileInvalidError(
        f"$: nested deeper than {MAX_DEPTH} levels"
    )


def _children(value: object) -> typing.Iterable[object]:
    if isinstance(value, dict):
        return value.values()
    if isinstance(value, list):
        return value
    return ()


def _unique_keys(pairs: list[tuple[str, object]]) -> dict[str, object]:
    result = dict(pairs)
    if len(result) != len(pairs):
        names = [name for name, _ in pairs]
        repeated = sorted({name for name in names if names.count(name) > 1})
        raise ValueError(f"repeated keys {', '.join(repeated)}")
    return result


def _refuse_constant(text: str) -> object:
    raise ValueError(f"{text} is not allowed")


def _bounded_int(text: str) -> int:
    if len(text) > _MAX_NUMBER_DIGITS:
        raise ValueError(f"number of {len(text)} digits")
    return int(text)
