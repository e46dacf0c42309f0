"""Checks of single values; each raises `ValueError` if it is invalid."""

import ipaddress
import re
import urllib.parse

from galenatack.settings import field_spec

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
MAX_PORT = 65_535
MIN_SECRET_LENGTH = 16


def text(value: object) -> str:
    """Accepts any text that is not blank."""
    if not isinstance(value, str) or not value.strip():
        raise ValueError
    return value


def optional_text(value: object) -> str:
    """Accepts any text."""
    if not isinstance(value, str):
        raise ValueError
    return value


def name(value: object) -> str:
    """Accepts a name that is valid in paths, row keys and tickets."""
    if not NAME_PATTERN.fullmatch(text(value)):
        raise ValueError
    return value


def secret(value: object) -> str:
    """Accepts a secret of at least `MIN_SECRET_LENGTH` characters."""
    if len(text(value)) < MIN_SECRET_LENGTH:
        raise ValueError
    return value


def flag(value: object) -> bool:
    """Accepts true or false."""
    if not isinstance(value, bool):
        raise ValueError
    return value


def address(value: object) -> str:
    """Accepts IP:port, but no unspecified IP, because it is announced."""
    host, separator, port = text(value).rpartition(":")
    if not separator:
        raise ValueError
    is_bracketed = host.startswith("[") and host.endswith("]")
    parsed = ipaddress.ip_address(host[1:-1] if is_bracketed else host)
    if parsed.is_unspecified or is_bracketed != (parsed.version == 6):
        raise ValueError
    if not (port.isascii() and port.isdigit()):
        raise ValueError
    if not 1 <= int(port) <= MAX_PORT:
        raise ValueError
    return value


def url(value: object) -> str:
    """Accepts http(s)://IP:port; removes a trailing slash."""
    parts = urllib.parse.urlsplit(text(value))
    if parts.scheme not in ("http", "https"):
        raise ValueError
    if parts.path not in ("", "/") or parts.query or parts.fragment:
        raise ValueError
    address(parts.netloc)
    return value.rstrip("/")


def integer(*, minimum: int, maximum: int) -> field_spec.Check:
    """Returns a check for an integer in a range."""

    def check(value: object) -> int:
        if isinstance(value, bool) or not isinstance(value, int):
            raise ValueError
        if not minimum <= value <= maximum:
            raise ValueError
        return value

    return check


def one_of(*choices: str) -> field_spec.Check:
    """Returns a check for one of the given texts."""

    def check(value: object) -> str:
        if value not in choices:
            raise ValueError
        return value

    return check


def list_of(element_check: field_spec.Check) -> field_spec.Check:
    """Returns a check for a list without repeated items."""

    def check(value: object) -> tuple:
        if not isinstance(value, list):
            raise ValueError
        items = tuple(element_check(element) for element in value)
        if len(set(items)) != len(items):
            raise ValueError
        return items

    return check
