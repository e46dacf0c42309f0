"""Description of one setting."""

import collections.abc
import typing

Check = collections.abc.Callable[[object], typing.Any]


class FieldSpec(typing.NamedTuple):
    """Description of one setting.

    Attributes:
        path: Key path, parts joined by dots.
        check: Returns the parsed value or raises `ValueError` with what is
            expected.
        expects: What a right value looks like, for errors and the page.
        meaning: One sentence.
        default: Value when the key is absent; None makes it required.
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
        """True when the key must be there."""
        return self.default is None
