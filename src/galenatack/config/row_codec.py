"""Compresses rows for transfer to other nodes."""

import functools
import zlib

from galenatack import exceptions
from galenatack.messages import rows as rows_message
from galenatack.model import table_row

LEVEL = 1
"""Compression level. A configuration of 600 routes takes a millisecond; higher
levels save little more."""

MAX_ROW_BYTES = 3_000_000
"""Limit on a decompressed value, so that a peer cannot exhaust the memory."""

CACHED_VALUES = 4
"""Number of cached compressed values; after each change several neighbours
request the same few rows."""

_Row = table_row.TableRow


def pack(rows: tuple[_Row, ...]) -> rows_message.Rows:
    """Returns a message with the compressed rows."""
    packed = tuple(row._replace(value=_deflate(row.value)) for row in rows)
    return rows_message.Rows(packed, is_deflated=True)


def unpack(message: rows_message.Rows) -> tuple[_Row, ...]:
    """Returns the rows of a message.

    Raises:
        exceptions.DocumentError: A value is malformed or too large.
    """
    if not message.is_deflated:
        return message.rows
    return tuple(
        row._replace(value=_inflate(row.value)) for row in message.rows
    )


@functools.lru_cache(maxsize=CACHED_VALUES)
def _deflate(value: bytes) -> bytes:
    return zlib.compress(value, LEVEL)


def _inflate(packed: bytes) -> bytes:
    stream = zlib.decompressobj()
    try:
        value = stream.decompress(packed, MAX_ROW_BYTES)
    except zlib.error as error:
        raise exceptions.DocumentError(f"row: {error}") from error
    if not stream.eof:
        raise exceptions.DocumentError(
            f"row: cut short or above {MAX_ROW_BYTES} bytes"
        )
    return value
