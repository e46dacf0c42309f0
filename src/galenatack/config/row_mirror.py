"""Local copies of the rows of shared tables."""

import collections.abc

from galenatack.model import table_page
from galenatack.model import table_row

OnRows = collections.abc.Callable[[tuple[table_row.TableRow, ...]], None]


class RowMirror:
    """Keeps the newest known row of each key; older rows are ignored.

    Args:
        tables: Names of the mirrored tables, in the order in which their
            revisions are sent to other nodes.
    """

    def __init__(self, *, tables: tuple[str, ...]):
        self._tables = tables
        self._rows: dict[tuple[str, str], table_row.TableRow] = {}
        self._revisions = dict.fromkeys(tables, 0)
        self._callbacks: list[OnRows] = []

    @property
    def revisions(self) -> tuple[int, ...]:
        """Newest known revision of each table, in the order of the tables."""
        return tuple(self._revisions[name] for name in self._tables)

    def revision(self, table: str) -> int:
        """Returns the newest known revision of a table; 0 without any row."""
        return self._revisions[table]

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
            known = self._rows.get((row.table, row.key))
            if known is not None and known.revision >= row.revision:
                continue
            self._rows[row.table, row.key] = row
            newest = max(self._revisions[row.table], row.revision)
            self._revisions[row.table] = newest
            changed.append(row)
        if changed:
            for callback in self._callbacks:
                callback(tuple(changed))
        return tuple(changed)

    def replace(
        self, table: str, page: table_page.TablePage
    ) -> tuple[table_row.TableRow, ...]:
        """Applies a whole table; known rows that it lacks become tombstones.

        Returns:
            The rows that were stored, tombstones included.
        """
        present = {row.key for row in page.rows}
        tombstones = [
            row._replace(value=b"", revision=page.revision, is_deleted=True)
            for row in self._rows.values()
            if row.table == table
            and row.key not in present
            and not row.is_deleted
            and row.revision < page.revision
        ]
        return self.apply((*page.rows, *tombstones))

    def since(
        self, revisions: tuple[int, ...]
    ) -> tuple[table_row.TableRow, ...]:
        """Returns the rows that are newer than the revision of their table."""
        bounds = dict(zip(self._tables, revisions, strict=False))
        newer = [
            row
            for row in self._rows.values()
            if row.revision > bounds.get(row.table, 0)
        ]
        return tuple(sorted(newer, key=lambda row: row.revision))

    def is_behind(self, revisions: tuple[int, ...]) -> bool:
        """Returns whether a node with these revisions holds newer rows."""
        pairs = zip(self.revisions, revisions, strict=False)
        return any(own < theirs for own, theirs in pairs)
