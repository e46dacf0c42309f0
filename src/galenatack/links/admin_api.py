"""The admin API: JSON over HTTP for operators, on a separate listener."""

import collections.abc
import hmac
import json
import logging
import typing
import urllib.parse

from galenatack import exceptions
from galenatack.links import admin_errors
from galenatack.links import admin_route
from galenatack.links import plain_json
from galenatack.links import plain_text
from galenatack.settings import trust_settings

MAX_BODY_BYTES = 2 * 1024 * 1024

_log = logging.getLogger(__name__)


class AdminApi:
    """An ASGI application over a table of routes.

    Args:
        routes: The routes; the first match is used.
        trust: Bearer tokens for each role. If no token is configured, every
            request has both roles; the daemon logs a warning at startup.
    """

    def __init__(
        self,
        *,
        routes: collections.abc.Sequence[admin_route.AdminRoute],
        trust: trust_settings.TrustSettings,
    ):
        self._routes = routes
        self._trust = trust

    async def __call__(self, scope, receive, send) -> None:
        """Serves one HTTP request, or the lifespan protocol."""
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        status, content_type, body = await self._respond(scope, receive)
        headers = [
            (b"content-type", content_type),
            (b"content-length", str(len(body)).encode()),
        ]
        start = {"type": "http.response.start"}
        await send(start | {"status": status, "headers": headers})
        await send({"type": "http.response.body", "body": body})

    async def _respond(self, scope, receive) -> tuple[int, bytes, bytes]:
        try:
            value = await self._run(scope, receive)
        except exceptions.GalenatackError as error:
            status = admin_errors.status_of(error)
            body = plain_json.dump(admin_errors.body_of(error))
            return status, b"application/json", body
        except Exception as error:  # A bug must not stop the listener.
            _log.exception("event=admin-failed path=%s", scope["path"])
            body = plain_json.dump(admin_errors.body_of(error))
            return 500, b"application/json", body
        if isinstance(value, plain_text.PlainText):
            return value.status, b"text/plain", value.text.encode()
        return 200, b"application/json", plain_json.dump(value)

    async def _run(self, scope, receive) -> typing.Any:
        route, groups = self._match(scope["method"], scope["path"])
        self._authorize(route.role, scope["headers"])
        text = scope["query_string"].decode("latin-1")
        query = dict(urllib.parse.parse_qsl(text))
        body = _decode(await _read_body(receive))
        return await route.action(query, body, **groups)

    def _match(
        self, method: str, path: str
    ) -> tuple[admin_route.AdminRoute, dict[str, str]]:
        for route in self._routes:
            match = route.pattern.fullmatch(path)
            if match and route.method == method:
                groups = match.groupdict()
                unquote = urllib.parse.unquote
                return route, {k: unquote(v) for k, v in groups.items()}
        raise exceptions.NotFoundError(f"no admin call {method} {path}")

    def _authorize(self, role: str, headers) -> None:
        operators = self._trust.operator_tokens
        viewers = self._trust.viewer_tokens
        if role == "public" or not (operators or viewers):
            return
        token = _bearer_token(headers)
        if _is_one_of(token, operators):
            return
        if not _is_one_of(token, viewers):
            raise exceptions.NotAuthenticatedError(
                "give a bearer token from the node's trust settings (--token)"
            )
        if role == "operator":
            raise exceptions.NotPermittedError(
                "the role `viewer` may not change anything;"
                " use an operator token"
            )


def _bearer_token(headers) -> str:
    for name, value in headers:
        if name.lower() == b"authorization":
            return value.decode("latin-1").removeprefix("Bearer ").strip()
    return ""


def _is_one_of(token: str, valid_tokens: tuple[str, ...]) -> bool:
    token_bytes = token.encode()
    return any(
        hmac.compare_digest(token_bytes, item.encode()) for item in valid_tokens
    )


def _decode(body: bytes) -> dict[str, typing.Any]:
    if not body:
        return {}
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise exceptions.AdminRequestError("the body is not JSON") from error
    if not isinstance(value, dict):
        raise exceptions.AdminRequestError("the body must be a JSON object")
    return value


async def _read_body(receive) -> bytes:
    chunks = []
    size_bytes = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise exceptions.AdminRequestError("the client disconnected")
        chunk = message.get("body", b"")
        size_bytes += len(chunk)
        if size_bytes > MAX_BODY_BYTES:
            raise exceptions.AdminRequestError(
                f"the body is larger than {MAX_BODY_BYTES} bytes"
            )
        chunks.append(chunk)
        if not message.get("more_body"):
            return b"".join(chunks)


async def _serve_lifespan(receive, send) -> None:
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return
