"""An answer of a target."""

import typing


class TargetAnswer(typing.NamedTuple):
    """An answer of a target.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers, names in lower case.
        body: Whole body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
