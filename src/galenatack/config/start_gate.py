"""Keeps a fresh node from serving before its configuration runs."""

import anyio


class StartGate:
    """Opens once the seq that the rebuild found is in force.

    The rebuild ends when that seq is held; it runs only once other nodes
    hold it too. In between the node would run less than in its last life.
    """

    def __init__(self):
        self._needed_seq: int | None = None
        self._opened = anyio.Event()

    @property
    def is_open(self) -> bool:
        """Whether the node may serve; it stays open."""
        return self._opened.is_set()

    def require(self, held_seq: int) -> None:
        """Notes the seq that the rebuild found."""
        self._needed_seq = held_seq

    def on_running(self, running_seq: int) -> None:
        """Opens when that seq is in force."""
        if self._needed_seq is not None and running_seq >= self._needed_seq:
            self._opened.set()

    async def wait(self) -> None:
        """Returns once the gate is open."""
        await self._opened.wait()
