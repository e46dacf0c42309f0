"""Forms of the target of an HTTP request."""

_SCHEMES = ("http://", "https://")


def split(target: str) -> tuple[str | None, str]:
    """Returns the host in a target, or None, and its path with the query.

    Only the absolute form, in which clients send requests to a proxy, names a
    host. It replaces the `host` header (RFC 9112, section 3.2.2).

    Args:
        target: Target of the request line.
    """
    if target.startswith("/"):
        return None, target
    scheme = target[: target.find("//") + 2].lower()
    if scheme not in _SCHEMES:
        return None, target
    rest = target[len(scheme) :]
    end = next((at for at, char in enumerate(rest) if char in "/?"), len(rest))
    host = rest[:end].rpartition("@")[2]
    path = rest[end:]
    return host, path if path.startswith("/") else f"/{path}"
