"""The platform's object store over HTTP."""

from galenatack.links import platform_client


class PlatformObjects:
    """Implements `interfaces.object_store.ObjectStore`.

    Args:
        client: HTTP client of the platform.
    """

    def __init__(self, *, client: platform_client.PlatformClient):
        self._client = client

    async def get(self, name: str) -> bytes | None:
        """Returns an object, or None if it does not exist.

        Raises:
            exceptions.PlatformUnavailableError: No usable answer.
        """
        response = await self._client.read(f"/objects/{name}")
        return None if response is None else response.content

    async def put(self, name: str, body: bytes) -> None:
        """Writes an object; idempotent if the name is the content hash.

        Raises:
            exceptions.PlatformUnavailableError: Nothing was written.
            exceptions.OutcomeUnknownError: It may have been written.
        """
        await self._client.write("PUT", f"/objects/{name}", content=body)
