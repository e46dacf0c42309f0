"""The network path from one data centre to the platform."""

import collections.abc
import typing

import anyio.lowlevel

from galenatack import exceptions


class PlatformPath:
    """Wraps a `Table` or an `ObjectStore`; fails while the path is cut.

    Args:
        inner: Wrapped table or object store.
        is_cut: Returns whether the path is cut.
    """

    def __init__(
        self,
        inner: typing.Any,
        *,
        is_cut: collections.abc.Callable[[], bool],
    ):
        self._inner = inner
        self._is_cut = is_cut

    async def get(self, key):
        """Reads a row or an object."""
        return await self._forward(self._inner.get, key)

    async def scan(self, prefix, *, after="", limit=100):
        """Reads rows."""
        return await self._forward(
            self._inner.scan, prefix, after=after, limit=limit
        )

    async def commit(self, change):
        """Commits a transaction."""
        return await self._forward(self._inner.commit, change)

    async def put(self, name, body):
        """Writes an object."""
        return await self._forward(self._inner.put, name, body)

    async def _forward(self, operation, *args, **options):
        await anyio.lowlevel.checkpoint()
        if self._is_cut():
            raise exceptions.PlatformUnavailableError("the path is cut")
        answer = await operation(*args, **options)
        if self._is_cut():
            raise exceptions.OutcomeUnknownError("cut before the answer")
        return answer
