"""Converts configuration entries to and from table rows.

The log row and the entry row of a change have the same value. Choices and
moves are small and stored in the row itself; profile bodies are stored as
objects named by their SHA-256.
"""

import collections.abc
import typing

import anyio

from galenatack import exceptions
from galenatack.config import canonical_json
from galenatack.config import row_keys
from galenatack.interfaces import object_store
from galenatack.model import entry
from galenatack.model import row

# With a round trip of 60 ms to another region, sequential reads of 570 bodies
# would take 34 s.
PARALLEL_READS = 8

Known = collections.abc.Callable[[str], entry.Entry | None]


def value(item: entry.Entry, *, operation_id: str) -> dict[str, typing.Any]:
    """Returns the JSON value of the log row and entry row of an entry."""
    result = {
        "key": item.key,
        "seq": item.seq,
        "version": item.version,
        "digest": item.digest,
        "operation": operation_id,
    }
    if not item.key.startswith(row_keys.PROFILE):
        result["body"] = item.body.decode()
    return result


async def load(
    stored: row.Row,
    objects: object_store.ObjectStore,
    *,
    known: entry.Entry | None = None,
) -> entry.Entry:
    """Returns the entry of a row, reading the object store when needed.

    Args:
        stored: A log row or an entry row.
        objects: Store of the profile bodies.
        known: Entry whose body is reused if its digest is the same.

    Raises:
        exceptions.ObjectCorruptError: The body does not match its digest.
        exceptions.PlatformUnavailableError: The object store is unavailable.
    """
    fields = typing.cast(dict[str, typing.Any], stored.value)
    digest = fields["digest"]
    if known is not None and known.digest == digest:
        body = known.body
    elif "body" in fields:
        body = fields["body"].encode()
    else:
        body = await objects.get(digest)
    if body is None or canonical_json.digest(body) != digest:
        raise exceptions.ObjectCorruptError(
            f"body of {fields['key']} differs from {digest}"
        )
    return entry.Entry(
        fields["key"], fields["seq"], fields["version"], digest, body
    )


async def load_all(
    rows: collections.abc.Iterable[row.Row],
    objects: object_store.ObjectStore,
    *,
    known: Known = lambda key: None,
) -> tuple[entry.Entry, ...]:
    """Returns the entries of several rows, in the order of the rows.

    Args:
        rows: Log rows or entry rows.
        objects: Store of the profile bodies.
        known: Returns the entry that the node already holds for a key.

    Raises:
        exceptions.ObjectCorruptError: A body does not match its digest.
        exceptions.PlatformUnavailableError: The object store is unavailable.
    """
    pending = enumerate(rows)
    done: dict[int, entry.Entry] = {}
    failures: list[exceptions.PlatformError] = []

    async def load_pending() -> None:
        for index, stored in pending:
            key = typing.cast(dict[str, typing.Any], stored.value)["key"]
            try:
                done[index] = await load(stored, objects, known=known(key))
            except exceptions.PlatformError as error:
                failures.append(error)
            if failures:
                return

    async with anyio.create_task_group() as tasks:
        for _ in range(PARALLEL_READS):
            tasks.start_soon(load_pending)
    if failures:
        raise failures[0]
    return tuple(done[index] for index in sorted(done))
