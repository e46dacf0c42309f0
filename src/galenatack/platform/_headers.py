"""Names of the platform's headers, and selection of the headers to forward."""

ATTEMPT_ID = "x-attempt-id"
DEADLINE_MS = "x-deadline-ms"
STAMP = "x-upstream-stamp"
EXPECTED_TARGET = "x-expected-instance"
NOT_EXECUTED = "x-not-executed"
CALLER_SERVICE = "x-caller-service"
RETRY_AFTER = "retry-after"
CREDENTIAL = "x-credential"
TENANT = "x-tenant"
STORE_ERA = "store-era"
TARGET_LIMIT = "server-limit"
TARGET_LEAVING = "server-leaving"
TARGET_ID = "x-instance-id"
TARGET_COLD_MS = "x-warmup-ms"
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
_OF_TENANTS = frozenset({CREDENTIAL, TENANT})


def forwarded_request_headers(
    headers: tuple[tuple[str, str], ...], *, has_tenants: bool = False
) -> tuple[tuple[str, str], ...]:
    """Returns the end-to-end headers that the node does not set itself.

    Args:
        headers: Headers of a caller's request.
        has_tenants: True if callers send keys, which are not forwarded.
    """
    removed = _HOP_BY_HOP | _SET_BY_NODE
    return _without(headers, removed | _OF_TENANTS if has_tenants else removed)


def credential(headers: tuple[tuple[str, str], ...]) -> str:
    """Returns the key that a caller sent; empty without one.

    Several such headers are joined as HTTP prescribes, which is no key. Values
    of headers are decoded as Latin-1; a key beyond ASCII is sent as UTF-8.
    """
    key = ",".join(value for name, value in headers if name == CREDENTIAL)
    if key.isascii():
        return key
    # Bytes that are not UTF-8 become surrogates, which no configured key has.
    return key.encode("latin-1", "replace").decode("utf-8", "surrogateescape")


def forwarded_answer_headers(
    headers: tuple[tuple[str, str], ...],
) -> tuple[tuple[str, str], ...]:
    """Returns the end-to-end headers of an answer."""
    return _without(headers, _HOP_BY_HOP)


def _without(
    headers: tuple[tuple[str, str], ...], names: frozenset[str]
) -> tuple[tuple[str, str], ...]:
    options = [value for name, value in headers if name == "connection"]
    if options:
        # All at once: a head may have a thousand such lines.
        listed = {part.strip().lower() for part in ",".join(options).split(",")}
        names = names | (listed - {"close", "keep-alive"})
    return tuple(pair for pair in headers if pair[0] not in names)
