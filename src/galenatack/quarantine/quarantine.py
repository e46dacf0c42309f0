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
from galenatack.quarantine import trial_waits

MS_PER_S = 1000.0

MAX_WAIT_SHARE = 0.5
"""Share of its time that a suspected call waits for others."""

TRIAL_RETRY_AFTER_MS = 200
"""Time in which a trial ends."""


class Quarantine:
    """Decides whether and how a call is sent to the target of this node.

    A request under which a target has crashed is a suspect until a target
    answers it. A gate runs its suspects one at a time: if the target crashes
    again, no other suspect was running beside the cause. After a second crash
    the calls of a request wait, and the first one to end its wait is sent as
    a trial. All waits end when the request is cleared or quarantined.

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
        self._turns = suspect_turns.SuspectTurns()
        self._trials = trial_waits.TrialWaits()
        self._suspects: dict[str, tuple[bytes, bool]] = {}
        ledger.on_changed(self._release_decided)

    async def admit(
        self, request: request_fingerprint.Request, *, left_s: float
    ) -> bool:
        """Returns whether a caller's request is sent as a trial.

        A call that needs a trial first waits for a random part of its time,
        for the trial of another call, here or at another node, to decide on
        its request.

        Args:
            request: The request.
            left_s: Time until the caller must have an answer.

        Raises:
            exceptions.QuarantinedError: Targets have crashed under it.
        """
        if self._needs_trial(request):
            # Random waits make it unlikely that many trials start at once.
            await self._trials.wait(
                request_fingerprint.of(request),
                wait_s=self._rng.random() * MAX_WAIT_SHARE * max(0.0, left_s),
            )
        self._check(request)
        return self._needs_trial(request)

    def check(self, request: call_request.CallRequest) -> None:
        """Checks that a call may be sent to the target of this node.

        Raises:
            exceptions.QuarantinedError: Targets have crashed under it.
        """
        self._check(request)
        if not request.is_trial and self._needs_trial(request):
            raise exceptions.QuarantinedError(
                "targets crashed while they ran this request; it needs a trial",
                retry_after_ms=TRIAL_RETRY_AFTER_MS,
            )

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
        self._suspects[call_id] = (
            request_fingerprint.of(request),
            request.is_trial,
        )
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

    def _needs_trial(self, request: request_fingerprint.Request) -> bool:
        return (
            crash_ledger.TRIAL_CRASHES
            <= self._crashes(request)
            < crash_ledger.QUARANTINE_CRASHES
        )

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
        """Ends the waits that the number of crashes makes needless."""
        crashes = self._ledger.crashes(fingerprint)
        needs_trial = crashes == crash_ledger.TRIAL_CRASHES
        if not needs_trial:
            self._trials.release(fingerprint)
        if 0 < crashes < crash_ledger.TRIAL_CRASHES:
            return
        for call_id, (suspected, is_trial) in self._suspects.items():
            if suspected == fingerprint and not (needs_trial and is_trial):
                self._turns.release(call_id)

    def _crashes(self, request: request_fingerprint.Request) -> int:
        fingerprint = self._ledger.find(request)
        return 0 if fingerprint is None else self._ledger.crashes(fingerprint)
