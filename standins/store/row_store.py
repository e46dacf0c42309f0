"""Rows of the store stand-in, with conditions and a bounded history."""

import copy
import typing

PAGE_ROWS = 500


class ConflictError(Exception):
    """A condition of a transaction did not hold.

    Attributes:
        rows: (table, part, key) of the rows that differ.
    """

    def __init__(self, rows: list[tuple[str, str, str]]):
        super().__init__(str(rows))
        self.rows = rows


class HistoryGoneError(Exception):
    """The changes after a version are no longer in the history."""


class StoredRow(typing.NamedTuple):
    """A row, or the tombstone of a deleted one."""

    table: str
    part: str
    key: str
    value: bytes
    version: int
    is_deleted: bool = False


class RowStore:
    """All rows; each transaction gets the next version of a single counter.

    Args:
        history: Number of changes to keep.
    """

    def __init__(self, *, history: int = 10_000):
        self._rows: dict[tuple[str, str, str], StoredRow] = {}
        self._changes: list[StoredRow] = []
        self._history = history
        self._oldest = 0
        self.version = 0
        self.era = 0

    def copy(self) -> "RowStore":
        """Returns a copy, from which the store may be restored later."""
        return copy.deepcopy(self)

    def restore(self, former: "RowStore") -> None:
        """Loses all that was written since a copy was made."""
        era = self.era + 1
        self.__dict__ = copy.deepcopy(former.__dict__)
        self.era = era

    def commit(
        self,
        expected: list[tuple[str, str, str, int]],
        writes: list[tuple[str, str, str, bytes]],
        deletes: list[tuple[str, str, str]],
    ) -> int:
        """Applies a transaction atomically and returns its version.

        Raises:
            ConflictError: A condition did not hold; nothing changed.
        """
        failed = [
            (table, part, key)
            for table, part, key, version in expected
            if self._version_of(table, part, key) != version
        ]
        if failed:
            raise ConflictError(failed)
        self.version += 1
        for table, part, key, value in writes:
            self._change(StoredRow(table, part, key, value, self.version))
        for table, part, key in deletes:
            if (table, part, key) in self._rows:
                tombstone = StoredRow(table, part, key, b"", self.version, True)
                self._change(tombstone)
        return self.version

    def range(
        self, table: str, part: str, start: str, limit: int
    ) -> tuple[list[StoredRow], bool]:
        """Returns rows in key order, and whether there are more."""
        rows = sorted(
            (
                row
                for row in self._rows.values()
                if (row.table, row.part) == (table, part) and row.key >= start
            ),
            key=lambda row: row.key.encode(),
        )
        return rows[:limit], len(rows) > limit

    def changes(self, table: str, after: int) -> list[StoredRow]:
        """Returns all changes to the rows of a table after a version.

        Raises:
            HistoryGoneError: Some of these changes were dropped.
        """
        if after > self.version:
            raise HistoryGoneError(f"newest is {self.version}")
        if after < self._oldest:
            raise HistoryGoneError(f"oldest is {self._oldest}")
        return [
            row
            for row in self._changes
            if row.table == table and row.version > after
        ]

    def forget(self) -> None:
        """Drops the history of changes."""
        self._changes.clear()
        self._oldest = self.version

    def _version_of(self, table: str, part: str, key: str) -> int:
        row = self._rows.get((table, part, key))
        return row.version if row else 0

    def _change(self, row: StoredRow) -> None:
        row_key = (row.table, row.part, row.key)
        if row.is_deleted:
            del self._rows[row_key]
        else:
            self._rows[row_key] = row
        self._changes.append(row)
        if len(self._changes) > self._history:
            self._oldest = self._changes.pop(0).version
