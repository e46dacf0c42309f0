"""A caller's call, after routing."""

import typing


class CallRequest(typing.NamedTuple):
    """A caller's call, after routing.

    Attributes:
        call_id: Identifier, unique for each attempt.
        service: Service that is called.
        route: Name of the matched route.
        method: HTTP method.
        path: Path and query after the service name.
        headers: End-to-end headers, names in lower case.
        body: Whole body.
        deadline_ms: Remaining time in milliseconds.
        posting: True when the call runs at most once.
        idempotency_key: The caller's key; empty for reads.
    """

    call_id: str
    service: str
    route: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline_ms: int
    posting: bool
    idempotency_key: str = ""
