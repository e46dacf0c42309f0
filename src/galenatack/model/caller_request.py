"""A caller's request before it is routed."""

import typing


class CallerRequest(typing.NamedTuple):
    """A caller's request before it is routed.

    Attributes:
        request_id: The caller's identifier of the attempt.
        method: HTTP method.
        host: Requested host, in lower case, without the port.
        path: Path and query.
        headers: End-to-end headers, names in lower case.
        body: Whole body.
        deadline_ms: Time that the caller waits for an answer; 0 if it is not
            given.
        receive_ms: Time from its first byte until it was whole.
        credential: Key that the caller sent; empty without one. It is in no
            other field.
    """

    request_id: str
    method: str
    host: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline_ms: int
    receive_ms: float = 0.0
    credential: str = ""
