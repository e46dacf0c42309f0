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
        request_id: The caller's own identifier of the attempt.
        priority: Rank under load; 0 goes first.
        target_latency_ms: Time within which an answer is worth most; 0
            when the route states none.
        caller_service: Service of the instance where the call began.
        target_id: Target that is meant; empty for any.
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
    request_id: str = ""
    priority: int = 0
    target_latency_ms: int = 0
    caller_service: str = ""
    target_id: str = ""
