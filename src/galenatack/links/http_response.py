"""A whole HTTP response."""

import typing


class HttpResponse(typing.NamedTuple):
    """A whole HTTP response.

    Attributes:
        status: HTTP status.
        headers: Headers without the length.
        body: Whole body.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
