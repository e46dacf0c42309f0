"""HTTP API of the platform stand-in, as an ASGI application."""

import collections
import json
import typing
import urllib.parse

import anyio

from standins.platform import rate_limit
from standins.platform import table_store

DEFAULT_WRITES_PER_S = 400
DEFAULT_READS_PER_S = 2_000
MAX_BODY_BYTES = 8_388_608
MAX_SCAN_ROWS = 1_000
_LOST_ANSWER_S = 30.0
_MS_PER_S = 1000


class RefusedError(Exception):
    """The request is answered with an error status.

    Attributes:
        status: HTTP status.
    """

    def __init__(self, status: int, reason: str):
        super().__init__(reason)
        self.status = status


class Answer(typing.NamedTuple):
    """An answer to a request.

    Attributes:
        body: JSON value, or bytes of an object.
        is_write: True if the fault `lose_answers` applies to it.
        status: HTTP status.
    """

    body: typing.Any
    is_write: bool = False
    status: int = 200


class PlatformApp:
    """Table service and object store with injectable faults.

    Args:
        writes_per_s: Allowed rate of row and object writes.
        reads_per_s: Allowed rate of reads.
    """

    def __init__(
        self,
        *,
        writes_per_s: int = DEFAULT_WRITES_PER_S,
        reads_per_s: int = DEFAULT_READS_PER_S,
    ):
        self._table = table_store.TableStore()
        self._objects: dict[str, bytes] = {}
        self._writes = rate_limit.RateLimit(writes_per_s)
        self._reads = rate_limit.RateLimit(reads_per_s)
        self._stats: dict[str, typing.Any] = {
            "reads": 0,
            "writes": 0,
            "refused": 0,
            "conflicts": collections.Counter(),
        }
        self._faults = {"down": False, "slow_ms": 0, "lose_answers": 0}

    async def __call__(self, scope, receive, send) -> None:
        """Serves one request."""
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        try:
            body = await _read_body(receive)
            answer = await self._answer(scope, body)
        except RefusedError as error:
            self._stats["refused"] += 1
            answer = Answer({"error": str(error)}, status=error.status)
        except table_store.ConflictError as error:
            kinds = {key.partition("/")[0] for key in error.keys}
            self._stats["conflicts"].update(kinds)
            answer = Answer({"keys": error.keys}, status=409)
        if answer.is_write and self._faults["lose_answers"]:
            self._faults["lose_answers"] -= 1
            await _wait_for_disconnect(receive)
            return
        await _send(send, answer)

    async def _answer(self, scope, body: bytes) -> Answer:
        method, path = scope["method"], scope["path"]
        if path == "/_faults" and method == "POST":
            return self._set_faults(body)
        if path == "/_stats" and method == "GET":
            return Answer(self._stats)
        if self._faults["slow_ms"]:
            await anyio.sleep(self._faults["slow_ms"] / _MS_PER_S)
        if self._faults["down"]:
            raise RefusedError(503, "down")
        if method == "GET":
            self._charge(self._reads, "reads", 1)
            return self._read(path, scope["query_string"].decode())
        if method == "POST" and path == "/transactions":
            return self._commit(body)
        if method == "PUT" and path.startswith("/objects/"):
            self._charge(self._writes, "writes", 1)
            self._objects[path.removeprefix("/objects/")] = body
            return Answer({}, is_write=True)
        raise RefusedError(405, f"{method} {path} is not allowed")

    def _set_faults(self, body: bytes) -> Answer:
        fields = _json_object(body)
        if not fields.keys() <= self._faults.keys():
            raise RefusedError(400, "unknown fault")
        self._faults.update(fields)
        return Answer(self._faults)

    def _read(self, path: str, query: str) -> Answer:
        if path == "/table":
            return self._scan(query)
        found: typing.Any = None
        if path.startswith("/table/"):
            found = self._table.get(path.removeprefix("/table/"))
        elif path.startswith("/objects/"):
            found = self._objects.get(path.removeprefix("/objects/"))
        if found is None:
            return Answer({"error": "not found"}, status=404)
        return Answer(found)

    def _scan(self, query: str) -> Answer:
        fields = dict(urllib.parse.parse_qsl(query))
        try:
            limit = int(fields.get("limit", MAX_SCAN_ROWS))
        except ValueError as error:
            raise RefusedError(400, "limit is not a number") from error
        limit = max(0, min(limit, MAX_SCAN_ROWS))
        prefix, after = fields.get("prefix", ""), fields.get("after", "")
        return Answer({"rows": self._table.scan(prefix, after, limit)})

    def _commit(self, body: bytes) -> Answer:
        fields = _json_object(body)
        try:
            checks = [
                (check["key"], check["revision"])
                for check in fields.get("checks", [])
            ]
            puts = [(put["key"], put["value"]) for put in fields["puts"]]
            deletes = [str(key) for key in fields.get("deletes", [])]
        except (KeyError, TypeError) as error:
            raise RefusedError(400, "malformed transaction") from error
        self._charge(self._writes, "writes", len(puts) + len(deletes))
        revision = self._table.commit(checks, puts, deletes)
        return Answer({"revision": revision}, is_write=True)

    def _charge(
        self, limit: rate_limit.RateLimit, name: str, units: int
    ) -> None:
        if not limit.take(units):
            raise RefusedError(503, f"too many {name}")
        self._stats[name] += units


def _json_object(body: bytes) -> dict[str, typing.Any]:
    try:
        fields = json.loads(body)
    except ValueError as error:
        raise RefusedError(400, "not JSON") from error
    if not isinstance(fields, dict):
        raise RefusedError(400, "not an object")
    return fields


async def _read_body(receive) -> bytes:
    parts = []
    size_bytes = 0
    while True:
        event = await receive()
        parts.append(event.get("body", b""))
        size_bytes += len(parts[-1])
        if size_bytes > MAX_BODY_BYTES:
            raise RefusedError(413, "body too large")
        if not event.get("more_body"):
            return b"".join(parts)


async def _wait_for_disconnect(receive) -> None:
    with anyio.move_on_after(_LOST_ANSWER_S):
        while (await receive())["type"] != "http.disconnect":
            pass


async def _serve_lifespan(receive, send) -> None:
    while True:
        event = await receive()
        await send({"type": f"{event['type']}.complete"})
        if event["type"] == "lifespan.shutdown":
            return


async def _send(send, answer: Answer) -> None:
    is_bytes = isinstance(answer.body, bytes)
    body = answer.body if is_bytes else json.dumps(answer.body).encode()
    kind = b"application/octet-stream" if is_bytes else b"application/json"
    headers = [(b"content-type", kind)]
    if answer.status == 503:
        headers.append((b"retry-after", b"1"))
    await send(
        {
            "type": "http.response.start",
            "status": answer.status,
            "headers": headers,
        }
    )
    await send({"type": "http.response.body", "body": body})
