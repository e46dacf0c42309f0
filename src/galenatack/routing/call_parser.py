"""Parses and checks callers' requests before routing."""

import re
import typing

from galenatack import exceptions

MAX_PATH_CHARS = 8192
MAX_HEADERS = 100
MAX_HEADER_CHARS = 32_768
MAX_DEADLINE_MS = 600_000
MAX_KEY_CHARS = 256

DEADLINE_HEADER = "galenatack-deadline-ms"
KEY_HEADER = "idempotency-key"

_OWN_PREFIX = "galenatack-"
_SERVICE = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
_KEY = re.compile(rf"[A-Za-z0-9._:~+/=-]{{1,{MAX_KEY_CHARS}}}")
_DEADLINE = re.compile(r"[0-9]{1,6}")
# A target could resolve dot segments to the path of another route.
_DOT_SEGMENT = re.compile(r"/(?:\.|%2e){1,2}(?=/|$)", re.IGNORECASE)
_URI_TOO_LONG = 414
_HEADERS_TOO_LARGE = 431
_NOT_FORWARDED = frozenset(
    (
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)


class ParsedCall(typing.NamedTuple):
    """A well-formed call, before routing.

    Attributes:
        service: Name of the service.
        path: Path and query after the service name.
        headers: End-to-end headers.
        deadline_ms: The caller's deadline, or None.
        idempotency_key: The caller's key or an empty string. It is not checked
            yet, because reads ignore it.
    """

    service: str
    path: str
    headers: tuple[tuple[str, str], ...]
    deadline_ms: int | None
    idempotency_key: str


def parse(*, path: str, headers: tuple[tuple[str, str], ...]) -> ParsedCall:
    """Parses `/<service>/<rest>` and the headers.

    Raises:
        exceptions.BadCallError: A part is malformed or too large.
    """
    service, rest = _split(path)
    _check_headers(headers)
    return ParsedCall(
        service=service,
        path=rest,
        headers=forwarded(headers),
        deadline_ms=deadline_ms_of(headers),
        idempotency_key=_key(headers),
    )


def check_key(key: str) -> None:
    """Checks the idempotency key of a posting.

    Raises:
        exceptions.PostingKeyMissingError: The key is missing, or does not have
            the form that docs/callers.md specifies.
    """
    if not key:
        raise exceptions.PostingKeyMissingError(
            "postings need the header Idempotency-Key"
        )
    if not _KEY.fullmatch(key):
        raise exceptions.PostingKeyMissingError(
            f"Idempotency-Key must be 1 to {MAX_KEY_CHARS} letters, digits"
            " or . _ : ~ + / = -"
        )


def forwarded(
    headers: tuple[tuple[str, str], ...],
) -> tuple[tuple[str, str], ...]:
    """Returns the end-to-end headers; names are in lower case."""
    return tuple(
        (name, value)
        for name, value in headers
        if name not in _NOT_FORWARDED and not name.startswith(_OWN_PREFIX)
    )


def _split(path: str) -> tuple[str, str]:
    if len(path) > MAX_PATH_CHARS:
        raise exceptions.BadCallError("path too long", status=_URI_TOO_LONG)
    bare_path, separator, query = path.partition("?")
    if _DOT_SEGMENT.search(bare_path):
        raise exceptions.BadCallError("path has dot segments")
    service, _, rest = bare_path[1:].partition("/")
    if not bare_path.startswith("/") or not _SERVICE.fullmatch(service):
        raise exceptions.BadCallError("path must be /<service>/<rest>")
    return service, f"/{rest}{separator}{query}"


def _check_headers(headers: tuple[tuple[str, str], ...]) -> None:
    size = sum(len(name) + len(value) for name, value in headers)
    if len(headers) > MAX_HEADERS or size > MAX_HEADER_CHARS:
        raise exceptions.BadCallError(
            "headers too large", status=_HEADERS_TOO_LARGE
        )


def _single(headers: tuple[tuple[str, str], ...], header: str) -> str | None:
    values = [value for name, value in headers if name == header]
    if len(values) > 1:
        raise exceptions.BadCallError(f"{header} occurs more than once")
    return values[0] if values else None


def deadline_ms_of(headers: tuple[tuple[str, str], ...]) -> int | None:
    """Returns the caller's deadline, or None if it is not given.

    Raises:
        exceptions.BadCallError: The header is malformed.
    """
    value = _single(headers, DEADLINE_HEADER)
    if value is None:
        return None
    if not _DEADLINE.fullmatch(value) or not int(value):
        raise exceptions.BadCallError(
            f"{DEADLINE_HEADER} must be 1 to {MAX_DEADLINE_MS}"
        )
    return min(int(value), MAX_DEADLINE_MS)


def _key(headers: tuple[tuple[str, str], ...]) -> str:
    return _single(headers, KEY_HEADER) or ""
