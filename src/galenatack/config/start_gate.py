"""Keeps a new node from serving before its configuration runs."""

import anyio


class StartGate:
    """Opens once the seq that the rebuild found is running.

    The rebuild ends when the node holds that seq, but the seq runs only once
    other nodes hold it too. In between, the node would serve with an older
    configuration than before its restart.
    """

    def __init__(self):
        self._needed_seq: int | None = None
        self._opened = anyio.Event()

    @property
    def is_open(self) -> bool:
        """True once the node may serve; the gate never closes again."""
        return self._opened.is_set()

    def require(self, held_seq: int) -> None:
        """Sets the seq that the rebuild found."""
        self._needed_seq = held_seq

    def on_running(self, running_seq: int) -> None:
        """Opens the gate once the required seq runs."""
        if self._needed_seq is not None and running_seq >= self._needed_seq:
            self._opened.set()

    async def wait(self) -> None:
        """Waits until the gate is open."""
        await self._opened.wait()
