"""HTTP requests with their bodies."""

import typing


class HttpRequest(typing.NamedTuple):
    """A complete HTTP request.

    Attributes:
        method: Method in upper case.
        target: Path and query, also of a request in absolute form.
        headers: Headers, with names in lower case.
        body: Complete body.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
