"""Turns of suspected calls at one gate."""

import asyncio
import collections.abc
import contextlib

from galenatack import exceptions

RETRY_AFTER_MS = 200
"""About two service times."""


class SuspectTurns:
    """Lets suspected calls run one at a time, in the order of their arrival.

    Attributes:
        running: Call that has the turn; empty if none has.
    """

    def __init__(self):
        self.running = ""
        self._waiting: dict[str, asyncio.Future[bool]] = {}

    @contextlib.asynccontextmanager
    async def hold(
        self, call_id: str, *, wait_s: float
    ) -> collections.abc.AsyncIterator[None]:
        """Holds the turn, unless the call is released from waiting for it.

        Args:
            call_id: The call.
            wait_s: Longest time to wait.

        Raises:
            exceptions.OverloadedError: The turn did not come in time.
            exceptions.CancelledCallError: The caller went away.
        """
        if not self.running:
            self.running = call_id
        elif not await self._wait(call_id, wait_s):
            yield
            return
        try:
            yield
        finally:
            self._pass_on()

    def release(self, call_id: str) -> None:
        """Lets a waiting call run at once, beside others."""
        self._end_wait(call_id, has_turn=False)

    def cancel(self, call_id: str) -> bool:
        """Cancels a call if it is waiting; returns whether it was."""
        waiter = self._waiting.get(call_id)
        if waiter is None or waiter.done():
            return False
        waiter.set_exception(
            exceptions.CancelledCallError(
                "the caller went away", is_confirmed=True
            )
        )
        return True

    async def _wait(self, call_id: str, wait_s: float) -> bool:
        """Waits for the turn; returns False if the call was released."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiting[call_id] = waiter
        try:
            async with asyncio.timeout(wait_s):
                return await waiter
        except BaseException as error:
            if self.running == call_id:
                # The turn came together with the end of the wait.
                self._pass_on()
            if isinstance(error, TimeoutError):
                raise exceptions.OverloadedError(
                    "other requests under which targets crashed go first",
                    retry_after_ms=RETRY_AFTER_MS,
                ) from error
            raise
        finally:
            del self._waiting[call_id]

    def _pass_on(self) -> None:
        self.running = ""
        for call_id in self._waiting:
            if self._end_wait(call_id, has_turn=True):
                self.running = call_id
                return

    def _end_wait(self, call_id: str, *, has_turn: bool) -> bool:
        waiter = self._waiting.get(call_id)
        if waiter is None or waiter.done():
            return False
        waiter.set_result(has_turn)
        return True
