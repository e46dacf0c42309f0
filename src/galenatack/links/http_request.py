"""HTTP requests with their bodies."""

import typing


class HttpRequest(typing.NamedTuple):
    """A complete HTTP request.

    Attributes:
        method: Method in upper case.
        target: Path and query, also of a request in absolute form.
        headers: Headers, with names in lower case.
        body: Complete body.
        receive_s: Time from its first byte until it was whole.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    receive_s: float = 0.0
