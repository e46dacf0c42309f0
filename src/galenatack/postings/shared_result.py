"""Result of a running attempt, shared by its repeats."""

import anyio

from galenatack.model import call_result


class SharedResult:
    """Result of a running attempt, shared by its repeats.

    Attributes:
        result: The result; None until the attempt has ended.
    """

    def __init__(self):
        self.result: call_result.CallResult | None = None
        self._ended = anyio.Event()

    def set_result(self, result: call_result.CallResult) -> None:
        """Sets the result and wakes up all waiting repeats."""
        self.result = result
        self._ended.set()

    async def wait(self, timeout_s: float) -> call_result.CallResult | None:
        """Returns the result, or None after `timeout_s` seconds."""
        with anyio.move_on_after(timeout_s):
            await self._ended.wait()
        return self.result
