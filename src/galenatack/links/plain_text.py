"""A text answer of the admin API."""

import typing


class PlainText(typing.NamedTuple):
    """A text answer, such as metrics.

    Attributes:
        text: The body.
        status: HTTP status.
    """

    text: str
    status: int = 200
