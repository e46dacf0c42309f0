"""Interface of the platform's object store."""

import typing


class ObjectStore(typing.Protocol):
    """Objects by name; galenatack names them by content hash."""

    async def get(self, name: str) -> bytes | None:
        """Reads an object; None if it does not exist.

        Raises:
            exceptions.PlatformUnavailableError: The object could not be read.
        """

    async def put(self, name: str, body: bytes) -> None:
        """Writes an object; idempotent for content-hash names.

        Raises:
            exceptions.PlatformUnavailableError: Nothing was written.
            exceptions.OutcomeUnknownError: The response was lost; the object
                may have been written.
        """
