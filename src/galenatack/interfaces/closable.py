"""Interface of objects with connections to close."""

import typing


class Closable(typing.Protocol):
    """An object that holds connections."""

    async def close(self) -> None:
        """Closes the connections."""
