"""Calls that wait for the trial of another call of their request."""

import asyncio


class TrialWaits:
    """Holds calls until it is decided whether their request is innocent."""

    def __init__(self):
        self._waiters: dict[bytes, set[asyncio.Future[None]]] = {}

    def __len__(self) -> int:
        """Returns the number of requests of which calls are waiting."""
        return len(self._waiters)

    async def wait(self, fingerprint: bytes, *, wait_s: float) -> bool:
        """Returns whether a decision came in time.

        Args:
            fingerprint: Fingerprint of the request.
            wait_s: Longest time to wait.
        """
        decision = asyncio.get_running_loop().create_future()
        waiters = self._waiters.setdefault(fingerprint, set())
        waiters.add(decision)
        try:
            async with asyncio.timeout(wait_s):
                await decision
        except TimeoutError:
            return False
        finally:
            waiters.discard(decision)
            if not waiters and self._waiters.get(fingerprint) is waiters:
                del self._waiters[fingerprint]
        return True

    def release(self, fingerprint: bytes) -> None:
        """Ends the waits for one request."""
        for decision in self._waiters.pop(fingerprint, ()):
            if not decision.done():
                decision.set_result(None)
