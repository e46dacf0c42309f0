"""A caller's call, after routing."""

import typing


class CallRequest(typing.NamedTuple):
    """A caller's call, after routing.

    Attributes:
        call_id: Identifier, unique for each attempt.
        service: Name of the called service.
        route: Name of the matched route.
        method: HTTP method.
        path: Path and query after the service name.
        headers: End-to-end headers, names in lower case.
        body: Whole body.
        deadline_ms: Remaining time in milliseconds.
        posting: True if the call runs at most once.
        idempotency_key: The caller's idempotency key; empty for reads.
        request_id: The caller's identifier of the attempt.
        priority: Priority under load; 0 is the highest.
        target_latency_ms: Latency objective of the route: an answer within
            this time has its full value; 0 if the route has none.
        caller_service: Service of the instance from which the call originates.
        target_id: Target to which the call is addressed; empty for any.
        target_rate_limit_per_s: Rate limit that the target named to the
            sender, for a gate that has restarted since; None without one.
        is_suspect: True if the sender knows of a target that crashed under
            this request, of which the gate may not have heard.
        is_trial: True if it may run although two targets have crashed under its
            request, to find out whether a third one answers it.
        is_retry: True if an earlier attempt of the request has reached a
            target, or may have.
        retry_share: For a first attempt, the probability that it descends from
            a retry: the share of retries and their descendants at the target
            of the sending node, which may have made it.
        tenant: Name of the tenant that sent the request; empty without one.
        cost_ms: Work that the call is expected to be, as the time that it
            takes at a target of the usual speed; 0 if it is not known.
        waited_ms: Time from the arrival of the request at its node until this
            attempt, which it has lost of its objective.
        max_wait_ms: Wait for a slot beyond which the gate declines the call,
            because another gate is then the better choice; None for no limit.
        cold_rate_per_s: Calls per second that a cold target of the service
            takes, for a gate that has no configuration yet; 0 without a limit.
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
    target_rate_limit_per_s: float | None = None
    is_suspect: bool = False
    is_trial: bool = False
    is_retry: bool = False
    retry_share: float = 0.0
    tenant: str = ""
    cost_ms: float = 0.0
    waited_ms: float = 0.0
    max_wait_ms: int | None = None
    cold_rate_per_s: float = 0.0
