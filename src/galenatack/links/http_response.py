"""HTTP responses with their bodies."""

import typing


class HttpResponse(typing.NamedTuple):
    """A complete HTTP response.

    Attributes:
        status: HTTP status.
        headers: Headers except `content-length`.
        body: Complete body.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
