"""Keeps requests under which targets crash away from targets."""

import collections.abc
import contextlib

import anyio

from galenatack import exceptions
from galenatack.model import call_request
from galenatack.quarantine import crash_ledger
from galenatack.quarantine import crash_reports
from galenatack.quarantine import request_fingerprint

MS_PER_S = 1000.0

MAX_WAIT_SHARE = 0.5
"""Share of its time that a suspected call waits for the one before it."""

WAIT_RETRY_AFTER_MS = 200
"""About two service times."""


class Quarantine:
    """Decides whether and how a call is sent to the target of this node.

    A request under which a target has crashed is a suspect until a target
    answers it. A gate runs its suspects one at a time: if the target crashes
    again, no other suspect was running beside the cause.

    Args:
        ledger: Crashes known to this node.
        reports: Shares crashes with other nodes.
    """

    def __init__(
        self,
        *,
        ledger: crash_ledger.CrashLedger,
        reports: crash_reports.CrashReports,
    ):
        self._ledger = ledger
        self._reports = reports
        self._turn = anyio.Semaphore(1)
        self._waiting: dict[str, anyio.CancelScope] = {}
        self._suspect_id = ""

    def check(self, request: request_fingerprint.Request) -> None:
        """Checks that a request may be sent to targets.

        Raises:
            exceptions.QuarantinedError: Targets have crashed under it.
        """
        fingerprint = self._ledger.find(request)
        if fingerprint is None:
            return
        refusal_ms = self._ledger.refusal_ms(fingerprint)
        if refusal_ms:
            crashes = self._ledger.crashes(fingerprint)
            raise exceptions.QuarantinedError(
                f"{crashes} targets crashed while they ran this request"
                f" (fingerprint {fingerprint.hex()})",
                retry_after_ms=refusal_ms,
            )

    def may_retry(self, request: request_fingerprint.Request) -> bool:
        """Returns whether a request may be sent to one more target."""
        return self._crashes(request) < crash_ledger.BACKOFF_CRASHES

    def is_suspect(self, request: request_fingerprint.Request) -> bool:
        """Returns whether targets have crashed under a request."""
        return self._crashes(request) > 0

    def runs_as_suspect(self, call_id: str) -> bool:
        """Returns whether a call at the target of this node is a suspect."""
        return call_id == self._suspect_id

    async def clear(self, request: request_fingerprint.Request) -> None:
        """Clears a request that a target has answered."""
        fingerprint = self._ledger.find(request)
        if fingerprint is not None:
            await self._reports.clear(fingerprint)

    @contextlib.asynccontextmanager
    async def turn(
        self, request: call_request.CallRequest
    ) -> collections.abc.AsyncIterator[None]:
        """Holds the turn of a suspected call; others pass at once.

        Raises:
            exceptions.QuarantinedError: Targets have crashed under it.
            exceptions.OverloadedError: Its turn did not come in time.
        """
        if not request.is_suspect and not self.is_suspect(request):
            yield
            return
        self.check(request)
        await self._wait(request)
        self._suspect_id = request.call_id
        try:
            # The call before may have been the same request.
            self.check(request)
            yield
        finally:
            self._suspect_id = ""
            self._turn.release()

    def cancel(self, call_id: str) -> bool:
        """Cancels a call that waits for its turn; returns whether it did."""
        scope = self._waiting.get(call_id)
        if scope is None:
            return False
        scope.cancel()
        return True

    def _crashes(self, request: request_fingerprint.Request) -> int:
        fingerprint = self._ledger.find(request)
        return 0 if fingerprint is None else self._ledger.crashes(fingerprint)

    async def _wait(self, request: call_request.CallRequest) -> None:
        wait_s = request.deadline_ms * MAX_WAIT_SHARE / MS_PER_S
        try:
            with anyio.move_on_after(wait_s) as scope:
                self._waiting[request.call_id] = scope
                await self._turn.acquire()
        finally:
            del self._waiting[request.call_id]
        if scope.cancelled_caught:
            raise exceptions.OverloadedError(
                "other requests under which targets crashed go first",
                retry_after_ms=WAIT_RETRY_AFTER_MS,
            )
