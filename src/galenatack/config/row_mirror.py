"""Local copies of the rows of shared tables."""

import collections.abc
import logging

from galenatack.model import store_revision
from galenatack.model import table_page
from galenatack.model import table_row

_LOGGER = logging.getLogger(__name__)

OnRows = collections.abc.Callable[[tuple[table_row.TableRow, ...]], None]


class RowMirror:
    """Keeps the newest known row of each key; older rows are ignored.

    A store that was restored from a copy lacks rows, or shows older ones. What
    it lost is kept beside the restored row and handed to peers with it, until
    the row is written again: a node that starts meanwhile must not go back
    behind its peers. The users of the rows decide which of both counts.

    Args:
        tables: Names of the mirrored tables, in the order in which their
            revisions are sent to other nodes.
    """

    def __init__(self, *, tables: tuple[str, ...]):
        self._tables = tables
        self._rows: dict[tuple[str, str], table_row.TableRow] = {}
        self._lost_rows: dict[tuple[str, str], table_row.TableRow] = {}
        self._revisions = dict.fromkeys(tables, 0)
        self._callbacks: list[OnRows] = []

    @property
    def revisions(self) -> tuple[int, ...]:
        """Newest known revision of each table, in the order of the tables."""
        return tuple(self._revisions[name] for name in self._tables)

    def revision(self, table: str) -> int:
        """Returns the newest known revision of a table; 0 without any row."""
        return self._revisions[table]

    @property
    def era(self) -> int | None:
        """Era of the store as far as known; None without any row."""
        newest = max(self.revisions)
        return store_revision.era(newest) if newest else None

    @property
    def lost_rows(self) -> int:
        """Number of rows that a restored store lost and nobody wrote again."""
        return len(self._lost_rows)

    def subscribe(self, callback: OnRows) -> None:
        """Registers a callback that gets the rows of each change."""
        self._callbacks.append(callback)

    def apply(
        self, rows: collections.abc.Iterable[table_row.TableRow]
    ) -> tuple[table_row.TableRow, ...]:
        """Stores the rows that are newer than the known ones.

        Returns:
            The rows that were stored.
        """
        changed = []
        for row in rows:
            if row.table not in self._revisions:
                continue
            key = (row.table, row.key)
            known = self._rows.get(key)
            if known is not None and known.revision >= row.revision:
                if self._is_lost(row, known):
                    self._lost_rows[key] = row
                    changed.append(row)
                continue
            if known is not None:
                self._keep_lost(known, row)
            self._rows[key] = row
            newest = max(self._revisions[row.table], row.revision)
            self._revisions[row.table] = newest
            changed.append(row)
        if changed:
            for callback in self._callbacks:
                callback(tuple(changed))
        return tuple(changed)

    def _keep_lost(
        self, known: table_row.TableRow, row: table_row.TableRow
    ) -> None:
        """Keeps the known row if the store lost it when it was restored."""
        key = (row.table, row.key)
        era = store_revision.era(row.revision)
        if store_revision.era(known.revision) == era:
            self._lost_rows.pop(key, None)
        elif not known.is_deleted and known.value != row.value:
            self._lost_rows.setdefault(key, known)
            _LOGGER.warning(
                "event=row-lost-by-store table=%s key=%s number=%d era=%d"
                " restored_number=%d is_missing=%s",
                row.table,
                row.key,
                store_revision.number(known.revision),
                era,
                store_revision.number(row.revision),
                row.is_deleted,
            )

    def _is_lost(
        self, row: table_row.TableRow, known: table_row.TableRow
    ) -> bool:
        """Returns whether a row of a former era is newer than the restored."""
        if row.is_deleted or row.value == known.value:
            return False
        if store_revision.era(row.revision) == store_revision.era(
            known.revision
        ):
            return False
        kept = self._lost_rows.get((row.table, row.key))
        if kept is not None and kept.revision >= row.revision:
            return False
        return store_revision.number(row.revision) > store_revision.number(
            known.revision
        )

    def replace(
        self,
        table: str,
        page: table_page.TablePage,
        *,
        may_lag: bool = False,
    ) -> tuple[table_row.TableRow, ...]:
        """Applies a whole table; known rows that it lacks become tombstones.

        Args:
            table: Name of the table.
            page: All its rows.
            may_lag: True if the rows may be older than the revision of the
                page. Then only those older than its newest row are known to
                be deleted; others may have been written since.

        Returns:
            The rows that were stored, tombstones included.
        """
        present = {row.key for row in page.rows}
        revision = page.revision
        if may_lag:
            revision = max((row.revision for row in page.rows), default=0)
        tombstones = [
            row._replace(value=b"", revision=revision, is_deleted=True)
            for row in self._rows.values()
            if row.table == table
            and row.key not in present
            and not row.is_deleted
            and row.revision < revision
        ]
        return self.apply((*page.rows, *tombstones))

    def since(
        self, revisions: tuple[int, ...]
    ) -> tuple[table_row.TableRow, ...]:
        """Returns the rows that are newer than the revision of their table.

        Rows that a restored store lost go with the restored ones.
        """
        bounds = dict(zip(self._tables, revisions, strict=False))
        newer = [
            row
            for row in self._rows.values()
            if row.revision > bounds.get(row.table, 0)
        ]
        lost = [self._lost_rows.get((row.table, row.key)) for row in newer]
        newer.extend(row for row in lost if row is not None)
        return tuple(sorted(newer, key=lambda row: row.revision))

    def is_behind(self, revisions: tuple[int, ...]) -> bool:
        """Returns whether a node with these revisions holds newer rows."""
        pairs = zip(self.revisions, revisions, strict=False)
        return any(own < theirs for own, theirs in pairs)
