"""The platform's object store."""

import typing


class ObjectStore(typing.Protocol):
    """Objects by name; galenatack names them by content hash."""

    async def get(self, name: str) -> bytes | None:
        """Reads an object, or None when there is none.

        Raises:
            exceptions.PlatformUnavailableError: The store refused.
        """

    async def put(self, name: str, body: bytes) -> None:
        """Writes an object; idempotent for content-hash names.

        Raises:
            exceptions.PlatformUnavailableError: The store refused.
            exceptions.OutcomeUnknownError: The answer was lost.
        """
