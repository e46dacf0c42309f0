"""Plain-text responses of the admin API."""

import typing


class PlainText(typing.NamedTuple):
    """A plain-text response, such as metrics.

    Attributes:
        text: The body.
        status: HTTP status.
    """

    text: str
    status: int = 200
