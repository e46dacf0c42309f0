"""An in-memory object store that can be taken down."""

import anyio.lowlevel

from galenatack import exceptions


class MemoryObjects:
    """Implements `interfaces.object_store.ObjectStore`.

    Attributes:
        down: Whether every operation fails as unavailable.
        objects: Bodies by name.
    """

    def __init__(self):
        self.down = False
        self.objects: dict[str, bytes] = {}

    async def get(self, name: str) -> bytes | None:
        """Reads an object."""
        await self._enter()
        return self.objects.get(name)

    async def put(self, name: str, body: bytes) -> None:
        """Writes an object."""
        await self._enter()
        self.objects[name] = body

    async def _enter(self) -> None:
        await anyio.lowlevel.checkpoint()
        if self.down:
            raise exceptions.PlatformUnavailableError("object store is down")
