"""A diff of JSON values that keys lists of named objects by name."""

import typing

_NAME = "name"


def diff(old: typing.Any, new: typing.Any) -> typing.Any:
    """Returns a diff with which `patch` turns `old` into `new`.

    The result is `[0, value]` for a replaced value, or
    `[1, {key: diff}, [dropped keys], order]` for a changed object; `order`
    is None for objects and for lists whose order follows from the old one.
    """
    old_keyed, new_keyed = _keyed(old), _keyed(new)
    if old_keyed is None or new_keyed is None or type(old) is not type(new):
        return [0, new]
    changed = {
        key: diff(old_keyed[key], value) if key in old_keyed else [0, value]
        for key, value in new_keyed.items()
        if key not in old_keyed or old_keyed[key] != value
    }
    dropped = [key for key in old_keyed if key not in new_keyed]
    order = None
    if isinstance(new, list) and _merged(old_keyed, new_keyed) != list(
        new_keyed
    ):
        order = list(new_keyed)
    return [1, changed, dropped, order]


def patch(old: typing.Any, change: typing.Any) -> typing.Any:
    """Applies a diff."""
    if change[0] == 0:
        return change[1]
    _, changed, dropped, order = change
    keyed = dict(_keyed(old) or {})
    for key, inner in changed.items():
        keyed[key] = patch(keyed.get(key), inner)
    for key in dropped:
        del keyed[key]
    if not isinstance(old, list):
        return keyed
    return [keyed[key] for key in order or keyed]


def _merged(
    old: dict[str, typing.Any], new: dict[str, typing.Any]
) -> list[str]:
    kept = [key for key in old if key in new]
    return kept + [key for key in new if key not in old]


def _keyed(value: typing.Any) -> dict[str, typing.Any] | None:
    if isinstance(value, dict):
        return value
    if isinstance(value, list) and all(
        isinstance(item, dict) and _NAME in item for item in value
    ):
        return {item[_NAME]: item for item in value}
    return None
