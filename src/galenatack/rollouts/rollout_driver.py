"""Takes rollouts through their phases until the verdict."""

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

STAND_BY_S = 1.0
"""Each evaluator waits this much longer than the one before it, so that one
node writes and the next takes over when it is gone."""

SHIFT_LEAD_S = 3.6
ALL_LEAD_S = 3.0
DONE_LEAD_S = 1.2
"""Times before the end at which the phases are due. A bad version that shows
itself only now has met at most a tenth of the calls: the trial's share and
half a second of the rest."""

LEAST_ALL_S = 1.4
"""At the verdict the old targets stop at once. Before, all nodes must have
moved away, which takes one mirrored row, and the calls that are running there
must have ended, which takes up to a route's timeout."""

SHORTEST_LEAD_SHARE = 0.3
"""The leads take at most this part of a short rollout."""

RETRY_S = 0.5


class RolloutDriver:
    """Judges the orders for which this node is an evaluator.

    Every write is conditional on the progress that was read, so that of two
    drivers only one gets through; a paused one finds its condition gone.

    Args:
        node_id: Own node.
        registry: Orders and progress.
        pool: Evidence.
        withdrawn: Withdrawals to other nodes.
        journal: Where progress is written.
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
        targets: target_count.TargetCount,
        clock: clock_interface.Clock,
    ):
        self._node_id = node_id
        self._registry = registry
        self._pool = pool
        self._withdrawn = withdrawn
        self._journal = journal
        self._targets = targets
        self._clock = clock
        self._phase_since_s: dict[tuple[int, str], float] = {}
        self._retry_s: dict[int, float] = {}
        self._recent = recent_evidence.RecentEvidence(clock=clock)

    async def run(self) -> None:
        """Works until cancelled."""
        while True:
            await self._pool.send()
            active = self._registry.active()
            revisions = {order.revision for order in active}
            self._pool.forget(revisions)
            self._recent.forget(revisions)
            for order in active:
                await self._drive(order)
            await self._clock.sleep_s(TICK_S)

    async def _drive(self, order: _Order) -> None:
        evaluators = self._pool.evaluators(order)
        if self._node_id not in evaluators:
            return
        stand_by_s = evaluators.index(self._node_id) * STAND_BY_S
        reason = await self._check(order)
        now_s = self._clock.monotonic_s()
        if now_s < self._retry_s.get(order.revision, 0.0) + stand_by_s:
            return
        step = self._next(order, reason, stand_by_s)
        if step is not None:
            await self._write(order, *step)

    async def _check(self, order: _Order) -> str | None:
        """Withdraws a faulty version; returns why it is withdrawn."""
        known = self._withdrawn.get(
            order.service, order.version, rollout_registry.move_id(order)
        )
        if known is not None:
            return known.reason
        reason = self._fault(order)
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

    def _fault(self, order: _Order) -> str | None:
        """Returns why the version is faulty, by all or by recent outcomes."""
        version = order.version
        recent = self._recent.since(
            order.revision, self._pool.reports(order), version
        )
        if self._registry.phase(order) == _Phase.ALL:
            return trial_judge.fault(recent, version, is_alone=True)
        evidence = self._pool.evidence(order)
        return trial_judge.fault(evidence, version) or trial_judge.fault(
            recent, version
        )

    def _next(
        self, order: _Order, reason: str | None, stand_by_s: float
    ) -> tuple[_Phase, str] | None:
        """Returns the phase that is due and why, or None."""
        if reason is not None:
            since_s = self._withdrawn.since_s(
                order.service, order.version, rollout_registry.move_id(order)
            )
            if self._clock.monotonic_s() - (since_s or 0.0) < stand_by_s:
                return None
            return _Phase.TAKEN_BACK, reason
        left_s = order.duration_ms / 1000 - self._registry.age_s(order)
        left_s += stand_by_s
        progress = self._registry.progress(order)
        if progress is None:
            if self._registry.age_s(order) < stand_by_s:
                return None
            return _Phase.TRIAL, "ordered"
        if not self._targets.count(order.service, order.version):
            return None
        return self._due(order, progress, left_s)

    def _due(
        self, order: _Order, progress: _Progress, left_s: float
    ) -> tuple[_Phase, str] | None:
        scale = min(
            1.0,
            SHORTEST_LEAD_SHARE * order.duration_ms / 1000 / SHIFT_LEAD_S,
        )
        key = (order.revision, progress.phase)
        now_s = self._clock.monotonic_s()
        since_s = self._phase_since_s.setdefault(key, now_s)
        if progress.phase == _Phase.TRIAL and left_s <= SHIFT_LEAD_S * scale:
            return _Phase.SHIFT, "no fault on trial"
        if progress.phase == _Phase.SHIFT and left_s <= ALL_LEAD_S * scale:
            return _Phase.ALL, "no fault while shifting"
        is_settled = now_s - since_s >= LEAST_ALL_S
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
        expected = self._registry.known_revision(order.service)
        try:
            revision = await self._journal.write(progress, expected=expected)
        except exceptions.PlatformError as error:
            _LOGGER.warning(
                "event=rollout-not-written service=%s phase=%s error=%s"
                " detail=%r",
                order.service,
                phase.value,
                error.code,
                str(error),
            )
            self._retry_s[order.revision] = self._clock.monotonic_s() + RETRY_S
            return
        self._registry.update_progress(progress._replace(revision=revision))
