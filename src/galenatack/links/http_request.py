"""A whole HTTP request."""

import typing


class HttpRequest(typing.NamedTuple):
    """A whole HTTP request.

    Attributes:
        method: Method in upper case.
        target: Path and query.
        headers: Headers, names in lower case.
        body: Whole body.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
