"""Keeps requests under which targets crash away from targets."""

import collections.abc
import contextlib

from galenatack import exceptions
from galenatack.interfaces import random_source
from galenatack.model import call_request
from galenatack.quarantine import crash_ledger
from galenatack.quarantine import crash_reports
from galenatack.quarantine import request_fingerprint
from galenatack.quarantine import suspect_turns

MS_PER_S = 1000.0

MAX_WAIT_SHARE = 0.5
"""Share of its time that a suspected call waits for the one before it."""


class Quarantine:
    """Decides whether and how a call is sent to the target of this node.

    A request under which a target has crashed is a suspect until a target
    answers it. A gate runs its suspects one at a time: if the target crashes
    again, no other suspect was running beside the cause. Calls that wait for
    their turn end their wait when their request is cleared or refused.

    Args:
        ledger: Crashes known to this node.
        reports: Shares crashes with other nodes.
        rng: Source of randomness.
    """

    def __init__(
        self,
        *,
        ledger: crash_ledger.CrashLedger,
        reports: crash_reports.CrashReports,
        rng: random_source.RandomSource,
    ):
        self._ledger = ledger
        self._reports = reports
        self._rng = rng
        self._nodes = 1
        self._turns = suspect_turns.SuspectTurns()
        self._suspects: dict[str, bytes] = {}
        ledger.on_changed(self._release_decided)

    def set_nodes(self, nodes: int) -> None:
        """Sets how many nodes take requests."""
        self._nodes = max(1, nodes)

    def admit(self, request: request_fingerprint.Request) -> bool:
        """Returns whether a caller's request is sent as a trial.

        While a request is held back for a moment, each node tries one in as
        many of its calls as there are nodes: the more often callers send it,
        the sooner an innocent one is cleared.

        Raises:
            exceptions.QuarantinedError: Targets have crashed under it.
        """
        crashes = self._crashes(request)
        is_trial = (
            crash_ledger.BACKOFF_CRASHES
            <= crashes
            < crash_ledger.QUARANTINE_CRASHES
        ) and self._rng.random() * self._nodes < 1.0
        if not is_trial:
            self._check(request)
        return is_trial

    def check(self, request: call_request.CallRequest) -> None:
        """Checks that a call may be sent to the target of this node.

        Raises:
            exceptions.QuarantinedError: Targets have crashed under it.
        """
        is_decided = self._crashes(request) >= crash_ledger.QUARANTINE_CRASHES
        if is_decided or not request.is_trial:
            self._check(request)

    def may_retry(self, request: request_fingerprint.Request) -> bool:
        """Returns whether a request may be sent to one more target."""
        return self._crashes(request) < crash_ledger.BACKOFF_CRASHES

    def is_suspect(self, request: request_fingerprint.Request) -> bool:
        """Returns whether targets have crashed under a request."""
        return self._crashes(request) > 0

    def runs_as_suspect(self, call_id: str) -> bool:
        """Returns whether a call at the target of this node is a suspect."""
        return call_id == self._turns.running

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
            exceptions.CancelledCallError: Its caller went away.
        """
        if not request.is_suspect and not self.is_suspect(request):
            yield
            return
        self.check(request)
        call_id = request.call_id
        self._suspects[call_id] = request_fingerprint.of(request)
        wait_s = request.deadline_ms * MAX_WAIT_SHARE / MS_PER_S
        try:
            async with self._turns.hold(call_id, wait_s=wait_s):
                # Another call of the same request may have decided on it.
                self.check(request)
                yield
        finally:
            del self._suspects[call_id]

    def cancel(self, call_id: str) -> bool:
        """Cancels a call that waits for its turn; returns whether it did."""
        return self._turns.cancel(call_id)

    def _check(self, request: request_fingerprint.Request) -> None:
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

    def _release_decided(self, fingerprint: bytes) -> None:
        """Ends the wait for a turn if the request is cleared, or refused."""
        is_suspect = self._ledger.crashes(fingerprint) > 0
        if is_suspect and not self._ledger.refusal_ms(fingerprint):
            return
        for call_id, suspected in self._suspects.items():
            if suspected == fingerprint:
                self._turns.release(call_id)

    def _crashes(self, request: request_fingerprint.Request) -> int:
        fingerprint = self._ledger.find(request)
        return 0 if fingerprint is None else self._ledger.crashes(fingerprint)
