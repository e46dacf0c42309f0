"""Typed access to a JSON object that collects errors with their paths."""

import collections.abc
import re

_MISSING = object()
_NAME = re.compile(r"[a-z0-9](?:[a-z0-9._-]{0,62})")


class CheckedObject:
    """A JSON object whose fields are checked as they are read.

    Each error is one line, `path: reason`. After an error a neutral value is
    returned and reading continues, so one pass finds all errors.

    Args:
        value: The JSON value, of any type.
        path: Path of the value, such as `$.routes[2]`.
        errors: List to which errors are appended.
    """

    def __init__(self, value: object, path: str, errors: list[str]):
        self.path = path
        self._errors = errors
        self._known: set[str] = set()
        if isinstance(value, dict):
            self._fields = value
        else:
            self._fields = {}
            self.fail("", f"expected an object, not {_kind(value)}")

    def fail(self, field: str, reason: str) -> None:
        """Adds an error for a field, or for the object if `field` is empty."""
        path = f"{self.path}.{field}" if field else self.path
        self._errors.append(f"{path}: {reason}")

    def finish(self) -> None:
        """Adds an error for each field that was never read."""
        for field in sorted(self._fields.keys() - self._known):
            self.fail(field[:64], "unknown field")

    def name(self, field: str) -> str:
        """Reads a name: lower-case letters, digits, `.`, `_` and `-`."""
        text = self._read(field, _MISSING, str)
        if not isinstance(text, str):
            return ""
        if not _NAME.fullmatch(text):
            self.fail(field, f"{text[:80]!r} is not a name")
        return text

    def text(
        self,
        field: str,
        *,
        pattern: re.Pattern[str],
        default: object = _MISSING,
    ) -> str:
        """Reads a string that fully matches a pattern."""
        text = self._read(field, default, str)
        if not isinstance(text, str):
            return ""
        if not pattern.fullmatch(text):
            self.fail(field, f"{text[:80]!r} does not match {pattern.pattern}")
        return text

    def one_of(
        self,
        field: str,
        allowed: collections.abc.Collection[str],
        *,
        default: object = _MISSING,
    ) -> str:
        """Reads a string from a fixed set."""
        text = self._read(field, default, str)
        if isinstance(text, str) and text not in allowed:
            self.fail(field, f"{text[:80]!r} is not {' or '.join(allowed)}")
        return text if isinstance(text, str) else ""

    def integer(
        self,
        field: str,
        *,
        low: int,
        high: int,
        default: object = _MISSING,
    ) -> int:
        """Reads an integer from `low` to `high`, inclusive."""
        number = self._read(field, default, int)
        if not isinstance(number, int):
            return low
        if not low <= number <= high:
            self.fail(field, f"{number} is not within {low} to {high}")
        return number

    def boolean(self, field: str, *, default: bool) -> bool:
        """Reads true or false."""
        value = self._read(field, default, bool)
        return value if isinstance(value, bool) else default

    def items(
        self, field: str, *, maximum: int, minimum: int = 1
    ) -> tuple[object, ...]:
        """Reads a list of `minimum` to `maximum` items."""
        value = self._read(field, _MISSING, list)
        if not isinstance(value, list):
            return ()
        if not minimum <= len(value) <= maximum:
            self.fail(field, f"{len(value)} items, not {minimum} to {maximum}")
        return tuple(value[:maximum])

    def names(self, field: str, *, maximum: int) -> tuple[str, ...]:
        """Reads a list of unique names."""
        names = []
        for index, item in enumerate(self.items(field, maximum=maximum)):
            if not isinstance(item, str) or not _NAME.fullmatch(item):
                self.fail(f"{field}[{index}]", "is not a name")
            elif item in names:
                self.fail(f"{field}[{index}]", f"repeats {item!r}")
            else:
                names.append(item)
        return tuple(names)

    def child(self, field: str) -> "CheckedObject":
        """Reads an optional object; a missing one is treated as empty."""
        value = self._read(field, {}, dict)
        path = f"{self.path}.{field}"
        fields = value if isinstance(value, dict) else {}
        return CheckedObject(fields, path, self._errors)

    def children(
        self, field: str, *, maximum: int
    ) -> tuple["CheckedObject", ...]:
        """Reads a non-empty list of objects."""
        return tuple(
            CheckedObject(item, f"{self.path}.{field}[{index}]", self._errors)
            for index, item in enumerate(self.items(field, maximum=maximum))
        )

    def _read(self, field: str, default: object, wanted: type) -> object:
        self._known.add(field)
        value = self._fields.get(field, default)
        if value is _MISSING:
            self.fail(field, "is missing")
        elif type(value) is not wanted:
            expected = _KINDS[wanted]
            self.fail(field, f"expected {expected}, not {_kind(value)}")
            return None
        return value


_KINDS = {
    str: "a string",
    int: "an integer",
    float: "a fraction",
    bool: "true or false",
    list: "a list",
    dict: "an object",
    type(None): "null",
}


def _kind(value: object) -> str:
    return _KINDS.get(type(value), type(value).__name__)
