"""Drives rollouts through their phases until the verdict."""

import collections.abc
import logging

from galenatack import exceptions
from galenatack.interfaces import clock as clock_interface
from galenatack.interfaces import rollout_journal
from galenatack.messages import withdraw
from galenatack.model import rollout_order
from galenatack.model import rollout_phase
from galenatack.model import rollout_progress
from galenatack.moves import withdrawals
from galenatack.rollouts import evidence_pool
from galenatack.rollouts import recent_evidence
from galenatack.rollouts import rollout_registry
from galenatack.rollouts import target_count
from galenatack.rollouts import trial_judge

_LOGGER = logging.getLogger(__name__)

_Order = rollout_order.RolloutOrder
_Phase = rollout_phase.RolloutPhase
_Progress = rollout_progress.RolloutProgress

TICK_S = 0.25
"""A fault is withdrawn within a few ticks; the bound is 5 s."""

TAKEOVER_DELAY_S = 1.0
"""Each evaluator waits this much longer than the previous one. Usually one node
writes, and the next one takes over if it is gone."""

SHIFT_LEAD_S = 3.6
ALL_LEAD_S = 3.0
DONE_LEAD_S = 1.2
"""Times before the end of the rollout at which the next phase is due. A faulty
version that is detected this late has received at most a tenth of the calls:
the share of the trial and half a second of the other calls."""

MIN_ALL_PHASE_S = 1.4
"""Minimum time in the phase ALL. At the verdict the old targets stop at once.
By then all nodes must have moved their calls, which takes one mirrored row, and
the running calls must have ended, which takes up to the timeout of a route."""

MAX_LEAD_SHARE = 0.3
"""Maximum share of a short rollout for the last phases."""

WRITE_RETRY_S = 0.5

Refresh = collections.abc.Callable[[], collections.abc.Awaitable[None]]


class RolloutDriver:
    """Drives the orders for which this node is an evaluator.

    Every write is conditional on the progress that was read. If two drivers
    write, only one succeeds, and the write of a driver that was paused fails.

    Args:
        node_id: Own node.
        registry: Orders and progress.
        pool: Evidence of all gates.
        withdrawn: Withdrawn versions, shared with other nodes.
        journal: Stores progress.
        refresh: Reads the progress of all rollouts from the store.
        targets: Counts the targets of a version.
        clock: Source of time.
    """

    def __init__(
        self,
        *,
        node_id: str,
        registry: rollout_registry.RolloutRegistry,
        pool: evidence_pool.EvidencePool,
        withdrawn: withdrawals.Withdrawals,
        journal: rollout_journal.RolloutJournal,
        refresh: Refresh,
        targets: target_count.TargetCount,
        clock: clock_interface.Clock,
    ):
        self._node_id = node_id
        self._registry = registry
        self._pool = pool
        self._withdrawn = withdrawn
        self._journal = journal
        self._refresh = refresh
        self._targets = targets
        self._clock = clock
        self._phase_since_s: dict[tuple[int, str], float] = {}
        self._retry_at_s: dict[int, float] = {}
        self._recent = recent_evidence.RecentEvidence(clock=clock)

    async def run(self) -> None:
        """Sends evidence and drives orders until cancelled."""
        while True:
            await self._pool.send()
            active = self._registry.active()
            revisions = {order.revision for order in active}
            self._pool.retain_only(revisions)
            self._recent.retain_only(revisions)
            for order in active:
                await self._drive(order)
            for progress, lost_s in self._registry.lost():
                await self._write_again(progress, lost_s)
            await self._clock.sleep_s(TICK_S)

    async def _drive(self, order: _Order) -> None:
        evaluators = self._pool.evaluators(order)
        if self._node_id not in evaluators:
            return
        takeover_delay_s = evaluators.index(self._node_id) * TAKEOVER_DELAY_S
        reason = await self._withdraw_if_faulty(order)
        now_s = self._clock.monotonic_s()
        if now_s < self._retry_at_s.get(order.revision, 0.0) + takeover_delay_s:
            return
        transition = self._next_phase(order, reason, takeover_delay_s)
        if transition is not None:
            await self._write(order, *transition)

    async def _write_again(self, progress: _Progress, lost_s: float) -> None:
        """Writes progress that a restored store has lost.

        The evaluators of the order take turns, so that one node writes.
        """
        evaluators = self._pool.evaluators(
            _Order(
                progress.service, progress.version, 0, progress.order_revision
            )
        )
        if self._node_id not in evaluators:
            return
        turn_s = evaluators.index(self._node_id) * TAKEOVER_DELAY_S
        retry_s = self._retry_at_s.get(progress.order_revision, 0.0) + turn_s
        if lost_s < turn_s or self._clock.monotonic_s() < retry_s:
            return
        _LOGGER.warning(
            "event=rollout-written-again service=%s version=%s phase=%s",
            progress.service,
            progress.version,
            progress.phase,
        )
        await self._commit(progress._replace(written_by=self._node_id))

    async def _withdraw_if_faulty(self, order: _Order) -> str | None:
        """Withdraws a faulty version; returns the reason, or None."""
        withdrawal = self._withdrawn.get(
            order.service, order.version, rollout_registry.move_id(order)
        )
        if withdrawal is not None:
            return withdrawal.reason
        if self._registry.is_withdrawn(order.service, order.version):
            return "withdrawn before the store was restored"
        reason = self._find_fault(order)
        if reason is not None:
            await self._withdrawn.add(
                withdraw.Withdraw(
                    rollout_registry.move_id(order),
                    order.service,
                    order.version,
                    reason,
                    self._node_id,
                    None,
                )
            )
        return reason

    def _find_fault(self, order: _Order) -> str | None:
        """Returns why all or recent outcomes show a fault, or None."""
        version = order.version
        recent = self._recent.since(
            order.revision, self._pool.reports(order), version
        )
        if self._registry.phase(order) == _Phase.ALL:
            return trial_judge.fault(
                trial_judge.joined(recent), version, is_alone=True
            )
        targets = self._targets.count(order.service, version)
        return trial_judge.confirmed_fault(
            self._pool.evidence(order), version, targets=targets
        ) or trial_judge.confirmed_fault(recent, version, targets=targets)

    def _next_phase(
        self, order: _Order, reason: str | None, takeover_delay_s: float
    ) -> tuple[_Phase, str] | None:
        """Returns the phase that is due and the reason, or None."""
        if reason is not None:
            since_s = self._withdrawn.since_s(
                order.service, order.version, rollout_registry.move_id(order)
            )
            if self._clock.monotonic_s() - (since_s or 0.0) < takeover_delay_s:
                return None
            return _Phase.TAKEN_BACK, reason
        left_s = order.duration_ms / 1000 - self._registry.age_s(order)
        left_s += takeover_delay_s
        progress = self._registry.progress(order)
        if progress is None:
            if self._registry.age_s(order) < takeover_delay_s:
                return None
            return _Phase.TRIAL, "ordered"
        if not self._targets.count(order.service, order.version):
            return None
        return self._due_phase(order, progress, left_s)

    def _due_phase(
        self, order: _Order, progress: _Progress, left_s: float
    ) -> tuple[_Phase, str] | None:
        scale = min(
            1.0,
            MAX_LEAD_SHARE * order.duration_ms / 1000 / SHIFT_LEAD_S,
        )
        key = (order.revision, progress.phase)
        now_s = self._clock.monotonic_s()
        since_s = self._phase_since_s.setdefault(key, now_s)
        if progress.phase == _Phase.TRIAL and left_s <= SHIFT_LEAD_S * scale:
            return _Phase.SHIFT, "no fault on trial"
        if progress.phase == _Phase.SHIFT and left_s <= ALL_LEAD_S * scale:
            return _Phase.ALL, "no fault while shifting"
        is_settled = now_s - since_s >= MIN_ALL_PHASE_S
        is_due = left_s <= DONE_LEAD_S * scale
        if progress.phase == _Phase.ALL and is_due and is_settled:
            return _Phase.DONE, "all calls moved without a fault"
        return None

    async def _write(self, order: _Order, phase: _Phase, reason: str) -> None:
        progress = _Progress(
            service=order.service,
            version=order.version,
            order_revision=order.revision,
            phase=phase.value,
            reason=reason,
            written_by=self._node_id,
        )
        await self._commit(progress)

    async def _commit(self, progress: _Progress) -> None:
        try:
            revision = await self._write_row(progress)
        except exceptions.PlatformError as error:
            _LOGGER.warning(
                "event=rollout-not-written service=%s phase=%s error=%s"
                " detail=%r",
                progress.service,
                progress.phase,
                error.code,
                str(error),
            )
            self._retry_at_s[progress.order_revision] = (
                self._clock.monotonic_s() + WRITE_RETRY_S
            )
            return
        self._registry.update_progress(progress._replace(revision=revision))

    async def _write_row(self, progress: _Progress) -> int:
        """Writes progress on the condition of the known row."""
        expected = self._registry.known_revision(progress.service)
        try:
            return await self._journal.write(progress, expected=expected)
        except exceptions.TransactionConflictError:
            # The store may have been restored. No watch tells of that before
            # another row of the table changes.
            await self._refresh()
            raise
