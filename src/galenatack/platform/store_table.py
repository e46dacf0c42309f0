"""Client of the platform's metadata store."""

import base64
import binascii
import json
import logging
import typing
import urllib.parse

import anyio

from galenatack import exceptions
from galenatack import json_document
from galenatack.links import http_client
from galenatack.links import target_connection
from galenatack.model import row_change
from galenatack.model import store_revision
from galenatack.model import table_page
from galenatack.model import table_row
from galenatack.platform import _headers

_LOGGER = logging.getLogger(__name__)

TIMEOUT_S = 2.0
"""Allows two attempts within the time limit for applying a change."""

WATCH_MARGIN_S = 2.0
CONNECT_TIMEOUT_S = 1.0
MAX_CONNECTIONS = 8
MAX_ANSWER_BYTES = 4_000_000
PAGE_ROWS = 500

_ERA = _headers.STORE_ERA.encode()
_JSON = ((b"content-type", b"application/json"),)
_OK = 200
_HISTORY_LOST = 410
_CONDITION_FAILED = 412
_REFUSALS = frozenset({429, 503})
_MS_PER_S = 1000


class StoreTable:
    """Implements `interfaces.shared_table.SharedTable`.

    The store divides tables into parts; only the unnamed part is used. It may
    be restored from a copy; the revisions of this client tell the eras apart.

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
        self._era: int | None = None

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
            document, era = await self._get("/v1/rows-get", query, TIMEOUT_S)
            page = _page(document, era)
            rows.extend(page.rows)
            revisions.append(page.revision)
            if era != store_revision.era(revisions[0]):
                raise exceptions.PlatformUnavailableError(
                    "the store was restored during a read"
                )
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
            exceptions.PlatformAnswerLostError: The answer is too long, or was
                not received completely in time.
            exceptions.PlatformUnavailableError: No valid answer was received.
        """
        query = {
            "table": table,
            "after": store_revision.number(after),
            "wait_ms": int(wait_s * _MS_PER_S),
        }
        document, era = await self._get(
            "/v1/rows-feed", query, wait_s + WATCH_MARGIN_S
        )
        if era != store_revision.era(after):
            raise exceptions.HistoryLostError(
                f"the store is in era {era}, the watch began in"
                f" {store_revision.era(after)}"
            )
        return _page(document, era)

    async def commit(self, change: row_change.RowChange) -> int:
        """Writes rows in one transaction and returns its revision.

        Raises:
            exceptions.TransactionConflictError: A condition failed.
            exceptions.PlatformUnavailableError: Nothing was written.
            exceptions.OutcomeUnknownError: It may have been written, or be
                written later.
        """
        if self._era is not None:
            keys = _keys_of_other_eras(change, self._era)
            if keys:
                raise exceptions.TransactionConflictError(
                    f"store restored since: {', '.join(keys)}", keys=keys
                )
        try:
            raw = await self._request(
                "POST",
                "/v1/rows-tx",
                timeout_s=TIMEOUT_S,
                headers=_JSON,
                body=_encode(change),
            )
        except exceptions.TargetConnectError as error:
            raise _unavailable(error) from error
        except (exceptions.TargetAnswerLostError, TimeoutError) as error:
            raise exceptions.OutcomeUnknownError(
                f"no answer to a write: {error!r}"
            ) from error
        era = self._note_era(raw)
        number = _commit_result(raw, change)
        if _keys_of_other_eras(change, era):
            raise exceptions.OutcomeUnknownError(
                "the store was restored before a conditional write"
            )
        return store_revision.make(era, number)

    async def _request(
        self,
        method: str,
        target: str,
        *,
        timeout_s: float,
        headers: tuple[tuple[bytes, bytes], ...] = (),
        body: bytes = b"",
    ) -> target_connection.RawAnswer:
        """Sends a request and returns the answer.

        Raises:
            exceptions.TargetConnectError: Nothing was sent.
            exceptions.TargetAnswerLostError: The request may have run.
            TimeoutError: The request may have run.
        """
        try:
            with anyio.fail_after(timeout_s):
                return await self._client.request(
                    method, target, headers=headers, body=body
                )
        except TimeoutError:
            # The idle connections may be as dead as the one of this request.
            await self._client.close()
            raise

    def _note_era(self, raw: target_connection.RawAnswer) -> int:
        """Returns the era of an answer.

        Raises:
            exceptions.PlatformUnavailableError: The era is unreadable, or the
                answer is late and from a former era.
        """
        text = next((value for name, value in raw.headers if name == _ERA), b"")
        known = self._era or 0
        if not text:
            return known
        if not text.isdigit() or int(text) > store_revision.MAX_ERA:
            raise exceptions.PlatformUnavailableError(f"store era {text!r}")
        era = int(text)
        if era < known:
            raise exceptions.PlatformUnavailableError(
                f"late answer of era {era}, the store is in {known}"
            )
        if era > known and self._era is not None:
            _LOGGER.warning("event=store-restored era=%d before=%d", era, known)
        self._era = era
        return era

    async def _get(
        self, path: str, query: dict[str, typing.Any], timeout_s: float
    ) -> tuple[dict[str, typing.Any], int]:
        """Returns the answer and its era."""
        target = f"{path}?{urllib.parse.urlencode(query)}"
        try:
            raw = await self._request("GET", target, timeout_s=timeout_s)
        except exceptions.TargetConnectError as error:
            raise _unavailable(error) from error
        except (exceptions.TargetAnswerLostError, TimeoutError) as error:
            raise exceptions.PlatformAnswerLostError(
                f"store: {error!r}"
            ) from error
        era = self._note_era(raw)
        if raw.status == _HISTORY_LOST:
            raise exceptions.HistoryLostError(f"{path}: history is gone")
        if raw.status != _OK:
            raise exceptions.PlatformUnavailableError(
                f"{path}: answer {raw.status}"
            )
        return _document(raw), era


def _keys_of_other_eras(
    change: row_change.RowChange, era: int
) -> tuple[str, ...]:
    """Returns the keys of the conditions on rows that were read in other eras.

    Their numbers may belong to other rows by now.
    """
    return tuple(
        key
        for _, key, revision in change.expected
        if revision and store_revision.era(revision) != era
    )


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
        document = json_document.load(raw.body)
    except exceptions.DocumentError as error:
        raise _unavailable(error) from error
    if not isinstance(document, dict):
        raise exceptions.PlatformUnavailableError("answer is no mapping")
    return document


def _page(document: dict[str, typing.Any], era: int) -> table_page.TablePage:
    try:
        rows = tuple(_row(row, era) for row in document.get("rows") or ())
        # `ver` of an answer is the latest number of the entire store.
        revision = store_revision.make(era, int(document["ver"]))
        return table_page.TablePage(rows, revision)
    except (
        AttributeError,
        KeyError,
        TypeError,
        ValueError,
        binascii.Error,
    ) as error:
        raise _unavailable(error) from error


def _row(row: dict[str, typing.Any], era: int) -> table_row.TableRow:
    is_deleted = bool(row.get("deleted"))
    return table_row.TableRow(
        table=row["table"],
        key=row["key"],
        value=b"" if is_deleted else base64.b64decode(row["value"]),
        revision=store_revision.make(era, int(row["ver"])),
        is_deleted=is_deleted,
    )


def _encode(change: row_change.RowChange) -> bytes:
    document = {
        "expected": [
            {
                "table": table,
                "part": "",
                "key": key,
                "ver": store_revision.number(revision),
            }
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
