"""Holds connections."""

import typing


class Closable(typing.Protocol):
    """Holds connections."""

    async def close(self) -> None:
        """Closes them."""
