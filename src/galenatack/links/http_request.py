"""A whole HTTP request."""

import typing


class HttpRequest(typing.NamedTuple):
    """A whole HTTP request.

    Attributes:
        method: Method in upper case.
        target: Path and query.
        headers: Headers, names in lower case.
        body: Whole body.
        peer_host: Address of the peer, without its port.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    peer_host: str = ""
