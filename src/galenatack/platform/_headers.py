"""Names of the platform's headers, and which headers are passed on."""

ATTEMPT_ID = "x-attempt-id"
DEADLINE_MS = "x-deadline-ms"
STAMP = "x-upstream-stamp"
EXPECTED_TARGET = "x-expected-instance"
NOT_EXECUTED = "x-not-executed"
CALLER_SERVICE = "x-caller-service"
RETRY_AFTER = "retry-after"

_ONE_CONNECTION = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_SET_HERE = frozenset(
    {ATTEMPT_ID, DEADLINE_MS, EXPECTED_TARGET, CALLER_SERVICE}
)


def of_request(
    headers: tuple[tuple[str, str], ...],
) -> tuple[tuple[str, str], ...]:
    """Returns the end-to-end headers that are not set anew for a target."""
    return _without(headers, _ONE_CONNECTION | _SET_HERE)


def of_answer(
    headers: tuple[tuple[str, str], ...],
) -> tuple[tuple[str, str], ...]:
    """Returns the end-to-end headers of an answer."""
    return _without(headers, _ONE_CONNECTION)


def _without(
    headers: tuple[tuple[str, str], ...], dropped: frozenset[str]
) -> tuple[tuple[str, str], ...]:
    for name, value in headers:
        if name == "connection":
            named = {part.strip().lower() for part in value.split(",")}
            dropped = dropped | (named - {"close", "keep-alive"})
    return tuple(pair for pair in headers if pair[0] not in dropped)
