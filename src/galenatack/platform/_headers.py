"""Names of the platform's headers, and selection of the headers to forward."""

ATTEMPT_ID = "x-attempt-id"
DEADLINE_MS = "x-deadline-ms"
STAMP = "x-upstream-stamp"
EXPECTED_TARGET = "x-expected-instance"
NOT_EXECUTED = "x-not-executed"
CALLER_SERVICE = "x-caller-service"
RETRY_AFTER = "retry-after"
STORE_ERA = "store-era"
TARGET_LIMIT = "server-limit"
TARGET_LEAVING = "server-leaving"
TARGET_LOAD = "x-upstream-load"

_HOP_BY_HOP = frozenset(
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
_SET_BY_NODE = frozenset(
    {ATTEMPT_ID, DEADLINE_MS, EXPECTED_TARGET, CALLER_SERVICE}
)


def forwarded_request_headers(
    headers: tuple[tuple[str, str], ...],
) -> tuple[tuple[str, str], ...]:
    """Returns the end-to-end headers that the node does not set itself."""
    return _without(headers, _HOP_BY_HOP | _SET_BY_NODE)


def forwarded_answer_headers(
    headers: tuple[tuple[str, str], ...],
) -> tuple[tuple[str, str], ...]:
    """Returns the end-to-end headers of an answer."""
    return _without(headers, _HOP_BY_HOP)


def _without(
    headers: tuple[tuple[str, str], ...], names: frozenset[str]
) -> tuple[tuple[str, str], ...]:
    for name, value in headers:
        if name == "connection":
            listed = {part.strip().lower() for part in value.split(",")}
            names = names | (listed - {"close", "keep-alive"})
    return tuple(pair for pair in headers if pair[0] not in names)
