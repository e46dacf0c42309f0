"""HTTP API of the store stand-in, as an ASGI application."""

import base64
import json
import typing
import urllib.parse

import anyio

from standins.store import node_table
from standins.store import row_store

MS_PER_S = 1000.0
PAGE_ROWS = 500
MAX_WAIT_MS = 30_000
LOST_ANSWER_S = 30.0
DEAF_POLL_S = 0.05


class RefusedError(Exception):
    """The call is answered with an error status.

    Attributes:
        status: HTTP status.
        body: JSON value of the answer.
    """

    def __init__(self, status: int, body: typing.Any):
        super().__init__(str(body))
        self.status = status
        self.body = body


class StoreApp:
    """Serves the rows of a shared store.

    Args:
        store: The rows and the active faults.
    """

    def __init__(self, *, store: node_table.SharedStore):
        self._store = store

    async def __call__(self, scope, receive, send) -> None:
        """Serves one call."""
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
            return
        try:
            body = await _read_body(receive)
            status, answer = 200, await self._answer(scope, body)
        except RefusedError as error:
            status, answer = error.status, error.body
        if answer is None:
            # The answer is lost: the client times out.
            await anyio.sleep(LOST_ANSWER_S)
            return
        await _send(send, status, answer, era=self._store.rows.era)

    async def _answer(self, scope, body: bytes) -> typing.Any:
        if self._store.faults.slow_s:
            await anyio.sleep(self._store.faults.slow_s)
        self._check_available()
        query = dict(
            urllib.parse.parse_qsl(
                scope["query_string"].decode(), keep_blank_values=True
            )
        )
        match (scope["method"], scope["path"]):
            case ("GET", "/v1/rows-get"):
                return self._get(query)
            case ("GET", "/v1/rows-feed"):
                return await self._feed(query)
            case ("POST", "/v1/rows-tx"):
                return self._commit(body)
        raise RefusedError(404, {"error": "no such call"})

    def _check_available(self) -> None:
        if self._store.faults.is_down:
            raise RefusedError(503, {"error": "down"})

    def _get(self, query: dict[str, str]) -> dict[str, typing.Any]:
        limit = min(PAGE_ROWS, int(query.get("limit", PAGE_ROWS)))
        rows, has_more = self._store.readable.range(
            query["table"], query.get("part", ""), query.get("from", ""), limit
        )
        return self._page(rows) | {"has_more": has_more}

    async def _feed(self, query: dict[str, str]) -> dict[str, typing.Any]:
        table, after = query["table"], int(query["after"])
        wait_ms = min(MAX_WAIT_MS, int(query.get("wait_ms", 0)))
        with anyio.move_on_after(wait_ms / MS_PER_S):
            while not self._changes(table, after):
                await self._store.wait_for_change()
        while self._store.faults.is_deaf:
            await anyio.sleep(DEAF_POLL_S)
        self._check_available()
        return self._page(self._changes(table, after))

    def _changes(self, table: str, after: int) -> list[row_store.StoredRow]:
        try:
            return self._store.rows.changes(table, after)
        except row_store.HistoryGoneError as error:
            raise RefusedError(410, {"error": str(error)}) from error

    def _commit(self, body: bytes) -> dict[str, typing.Any] | None:
        try:
            transaction = json.loads(body)
            expected = [
                (*_row_key(row), int(row["ver"]))
                for row in transaction["expected"]
            ]
            writes = [
                (*_row_key(row), base64.b64decode(row["value"]))
                for row in transaction["writes"]
            ]
            deletes = [_row_key(row) for row in transaction["deletes"]]
        except (ValueError, KeyError, TypeError) as error:
            raise RefusedError(400, {"error": repr(error)}) from error
        for table, *_ in (*writes, *deletes):
            if table in ("op", "servers"):
                raise RefusedError(403, {"error": f"{table} is not yours"})
        try:
            version = self._store.commit(expected, writes, deletes)
        except row_store.ConflictError as error:
            raise RefusedError(412, {"rows": error.rows}) from error
        if self._store.faults.lose_answers:
            self._store.faults.lose_answers -= 1
            return None
        return {"ver": version, "now": "1ms"}

    def _page(self, rows: list[row_store.StoredRow]) -> dict[str, typing.Any]:
        items = [
            {
                "table": row.table,
                "part": row.part,
                "key": row.key,
                "ver": row.version,
            }
            | (
                {"deleted": True}
                if row.is_deleted
                else {"value": base64.b64encode(row.value).decode()}
            )
            for row in rows
        ]
        return {"rows": items, "ver": self._store.rows.version, "now": "1ms"}


def _row_key(row: dict[str, typing.Any]) -> tuple[str, str, str]:
    return str(row["table"]), str(row.get("part", "")), str(row["key"])


async def _read_body(receive) -> bytes:
    parts = []
    while True:
        event = await receive()
        parts.append(event.get("body", b""))
        if not event.get("more_body"):
            return b"".join(parts)


async def _serve_lifespan(receive, send) -> None:
    while True:
        event = await receive()
        await send({"type": f"{event['type']}.complete"})
        if event["type"] == "lifespan.shutdown":
            return


async def _send(send, status: int, answer: typing.Any, *, era: int) -> None:
    headers = [
        (b"content-type", b"application/json"),
        (b"store-era", b"%d" % era),
    ]
    await send(
        {"type": "http.response.start", "status": status, "headers": headers}
    )
    await send(
        {"type": "http.response.body", "body": json.dumps(answer).encode()}
    )
