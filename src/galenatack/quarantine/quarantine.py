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

    def check(self, request: request_fingerprint.Request) -> None:
        """Checks that a request may be sent to targets.

        Raises:
            exceptions.QuarantinedError: Targets have crashed under it.
        """
        fingerprint = self._ledger.find(request)
        if fingerprint is not None:
            self._check(fingerprint)

    def may_retry(self, request: request_fingerprint.Request) -> bool:
        """Returns whether a request may be sent to one more target."""
        fingerprint = self._ledger.find(request)
        return (
            fingerprint is None
            or self._ledger.crashes(fingerprint) < crash_ledger.BACKOFF_CRASHES
        )

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
        fingerprint = self._ledger.find(request)
        if fingerprint is None:
            yield
            return
        self._check(fingerprint)
        await self._wait(request)
        try:
            # The call before may have been the same request.
            self._check(fingerprint)
            yield
        finally:
            self._turn.release()

    def cancel(self, call_id: str) -> bool:
        """Cancels a call that waits for its turn; returns whether it did."""
        scope = self._waiting.get(call_id)
        if scope is None:
            return False
        scope.cancel()
        return True

    def _check(self, fingerprint: bytes) -> None:
        refusal_ms = self._ledger.refusal_ms(fingerprint)
        if refusal_ms:
            crashes = self._ledger.crashes(fingerprint)
            raise exceptions.QuarantinedError(
                f"{crashes} targets crashed while they ran this request"
                f" (fingerprint {fingerprint.hex()})",
                retry_after_ms=refusal_ms,
            )

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
