"""Rows with revisions and atomic conditional transactions."""

import bisect
import typing


class ConflictError(Exception):
    """A check of a transaction failed.

    Attributes:
        keys: Keys whose revision differs.
    """

    def __init__(self, keys: list[str]):
        super().__init__(", ".join(keys))
        self.keys = keys


class TableStore:
    """All rows, in memory; each method is atomic within one event loop."""

    def __init__(self):
        self._rows: dict[str, tuple[typing.Any, int]] = {}
        self._keys: list[str] = []
        self._revision = 0

    def get(self, key: str) -> dict[str, typing.Any] | None:
        """Returns the value and revision of a row."""
        if key not in self._rows:
            return None
        value, revision = self._rows[key]
        return {"value": value, "revision": revision}

    def scan(
        self, prefix: str, after: str, limit: int
    ) -> list[dict[str, typing.Any]]:
        """Returns up to `limit` rows in key order."""
        if after >= prefix:
            start = bisect.bisect_right(self._keys, after)
        else:
            start = bisect.bisect_left(self._keys, prefix)
        rows = []
        for key in self._keys[start : start + limit]:
            if not key.startswith(prefix):
                break
            rows.append({"key": key, **self.get(key)})
        return rows

    def commit(
        self,
        checks: list[tuple[str, int]],
        puts: list[tuple[str, typing.Any]],
        deletes: list[str],
    ) -> int:
        """Applies a transaction and returns its revision.

        Raises:
            ConflictError: A check failed; nothing changed.
        """
        failed = [
            key
            for key, revision in checks
            if self._rows.get(key, (None, 0))[1] != revision
        ]
        if failed:
            raise ConflictError(failed)
        self._revision += 1
        for key, value in puts:
            if key not in self._rows:
                bisect.insort(self._keys, key)
            self._rows[key] = (value, self._revision)
        for key in deletes:
            self._delete(key)
        return self._revision

    def _delete(self, key: str) -> None:
        if self._rows.pop(key, None) is not None:
            self._keys.pop(bisect.bisect_left(self._keys, key))
