"""Client of the platform's metadata store."""

import base64
import binascii
import json
import typing
import urllib.parse

import anyio

from galenatack import exceptions
from galenatack.links import http_client
from galenatack.links import target_connection
from galenatack.model import row_change
from galenatack.model import table_page
from galenatack.model import table_row

TIMEOUT_S = 2.0
"""Allows two attempts within the time limit for applying a change."""

WATCH_MARGIN_S = 2.0
CONNECT_TIMEOUT_S = 1.0
MAX_CONNECTIONS = 8
MAX_ANSWER_BYTES = 4_000_000
PAGE_ROWS = 500

_JSON = ((b"content-type", b"application/json"),)
_OK = 200
_HISTORY_LOST = 410
_CONDITION_FAILED = 412
_REFUSALS = frozenset({429, 503})
_MS_PER_S = 1000


class StoreTable:
    """Implements `interfaces.shared_table.SharedTable`.

    The store divides tables into parts; only the unnamed part is used.

    Args:
        address: host:port of the store.
    """

    def __init__(self, *, address: str):
        self._client = http_client.HttpClient(
            address=address,
            max_connections=MAX_CONNECTIONS,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            max_answer_bytes=MAX_ANSWER_BYTES,
        )

    async def close(self) -> None:
        """Closes the idle connections."""
        await self._client.close()

    async def read(self, table: str) -> table_page.TablePage:
        """Reads all rows of a table.

        Raises:
            exceptions.PlatformUnavailableError: No valid answer was received.
        """
        rows: list[table_row.TableRow] = []
        revisions: list[int] = []
        start = ""
        while True:
            query = {
                "table": table,
                "part": "",
                "from": start,
                "limit": PAGE_ROWS,
            }
            document = await self._get("/v1/rows-get", query, TIMEOUT_S)
            page = _page(document)
            rows.extend(page.rows)
            revisions.append(page.revision)
            if not document.get("has_more") or not page.rows:
                # The watch delivers changes made between two pages again.
                return table_page.TablePage(tuple(rows), min(revisions))
            start = page.rows[-1].key + "\0"

    async def watch(
        self, table: str, *, after: int, wait_s: float
    ) -> table_page.TablePage:
        """Waits for rows that changed after a revision.

        Raises:
            exceptions.HistoryLostError: The store no longer has the changes.
            exceptions.PlatformUnavailableError: No valid answer was received.
        """
        query = {
            "table": table,
            "after": after,
            "wait_ms": int(wait_s * _MS_PER_S),
        }
        document = await self._get(
            "/v1/rows-feed", query, wait_s + WATCH_MARGIN_S
        )
        return _page(document)

    async def commit(self, change: row_change.RowChange) -> int:
        """Writes rows in one transaction and returns its revision.

        Raises:
            exceptions.TransactionConflictError: A condition failed.
            exceptions.PlatformUnavailableError: Nothing was written.
            exceptions.OutcomeUnknownError: It may have been written, or be
                written later.
        """
        try:
            with anyio.fail_after(TIMEOUT_S):
                raw = await self._client.request(
                    "POST",
                    "/v1/rows-tx",
                    headers=_JSON,
                    body=_encode(change),
                )
        except exceptions.TargetConnectError as error:
            raise _unavailable(error) from error
        except (exceptions.TargetAnswerLostError, TimeoutError) as error:
            raise exceptions.OutcomeUnknownError(
                f"no answer to a write: {error!r}"
            ) from error
        return _commit_result(raw, change)

    async def _get(
        self, path: str, query: dict[str, typing.Any], timeout_s: float
    ) -> dict[str, typing.Any]:
        target = f"{path}?{urllib.parse.urlencode(query)}"
        try:
            with anyio.fail_after(timeout_s):
                raw = await self._client.request("GET", target)
        except (exceptions.CallError, TimeoutError) as error:
            raise _unavailable(error) from error
        if raw.status == _HISTORY_LOST:
            raise exceptions.HistoryLostError(f"{path}: history is gone")
        if raw.status != _OK:
            raise exceptions.PlatformUnavailableError(
                f"{path}: answer {raw.status}"
            )
        return _document(raw)


def _commit_result(
    raw: target_connection.RawAnswer, change: row_change.RowChange
) -> int:
    if raw.status == _OK:
        try:
            return int(_document(raw)["ver"])
        except (exceptions.PlatformUnavailableError, KeyError) as error:
            raise exceptions.OutcomeUnknownError(
                f"unreadable answer to a write: {error!r}"
            ) from error
    if raw.status == _CONDITION_FAILED:
        keys = tuple(key for _, key, _ in change.expected)
        raise exceptions.TransactionConflictError(
            f"row changed: {', '.join(keys)}", keys=keys
        )
    if raw.status in _REFUSALS or raw.status < 500:
        raise exceptions.PlatformUnavailableError(
            f"write refused with {raw.status}: {raw.body[:120]!r}"
        )
    raise exceptions.OutcomeUnknownError(f"write answered with {raw.status}")


def _document(raw: target_connection.RawAnswer) -> dict[str, typing.Any]:
    try:
        document = json.loads(raw.body)
    except ValueError as error:
        raise _unavailable(error) from error
    if not isinstance(document, dict):
        raise exceptions.PlatformUnavailableError("answer is no mapping")
    return document


def _page(document: dict[str, typing.Any]) -> table_page.TablePage:
    try:
        rows = tuple(_row(row) for row in document.get("rows") or ())
        # `ver` of an answer is the latest revision of the entire store.
        return table_page.TablePage(rows, int(document["ver"]))
    except (KeyError, TypeError, ValueError, binascii.Error) as error:
        raise _unavailable(error) from error


def _row(row: dict[str, typing.Any]) -> table_row.TableRow:
    is_deleted = bool(row.get("deleted"))
    return table_row.TableRow(
        table=row["table"],
        key=row["key"],
        value=b"" if is_deleted else base64.b64decode(row["value"]),
        revision=int(row["ver"]),
        is_deleted=is_deleted,
    )


def _encode(change: row_change.RowChange) -> bytes:
    document = {
        "expected": [
            {"table": table, "part": "", "key": key, "ver": revision}
            for table, key, revision in change.expected
        ],
        "writes": [
            {
                "table": table,
                "part": "",
                "key": key,
                "value": base64.b64encode(value).decode("ascii"),
            }
            for table, key, value in change.writes
        ],
        "deletes": [
            {"table": table, "part": "", "key": key}
            for table, key in change.deletes
        ],
    }
    return json.dumps(document, separators=(",", ":")).encode()


def _unavailable(error: Exception) -> exceptions.PlatformUnavailableError:
    return exceptions.PlatformUnavailableError(f"store: {error!r}")
