"""Description of one setting."""

import collections.abc
import typing

Check = collections.abc.Callable[[object], typing.Any]


class FieldSpec(typing.NamedTuple):
    """Description of one setting.

    Attributes:
        path: Key path, parts joined by dots.
        check: Returns the parsed value, or raises `ValueError` if it is
            invalid.
        expects: Description of a valid value, for errors and the reference.
        meaning: Description of the setting in one sentence.
        default: Value if the key is missing; None makes the key required.
        is_secret: True when errors must not show the value.
    """

    path: str
    check: Check
    expects: str
    meaning: str
    default: object = None
    is_secret: bool = False

    @property
    def is_required(self) -> bool:
        """True if the key has no default."""
        return self.default is None
