"""Evaluates the evidence on each node and withdraws a faulty version."""

from galenatack.interfaces import clock as clock_interface
from galenatack.interfaces import event_sink
from galenatack.messages import evidence
from galenatack.messages import withdraw
from galenatack.model import move_policy
from galenatack.model import move_state
from galenatack.moves import evaluator
from galenatack.moves import evidence_store
from galenatack.moves import route_verdict
from galenatack.moves import withdrawals as withdrawals_module

EVALUATE_S = 0.25


class FaultDetector:
    """Detects faults of one move on one node, without driver or platform.

    Attributes:
        evaluator: Verdicts so far; also used by the driver on this node.
    """

    def __init__(
        self,
        *,
        move: move_state.MoveState,
        policy: move_policy.MovePolicy,
        node_id: str,
        clock: clock_interface.Clock,
        events: event_sink.EventSink,
        withdrawals: withdrawals_module.Withdrawals,
        is_late: bool = False,
    ):
        self._move = move
        self._node_id = node_id
        self._clock = clock
        self._events = events
        self._withdrawals = withdrawals
        self._store = evidence_store.EvidenceStore(
            move_id=move.move_id, is_late=is_late
        )
        self.evaluator = evaluator.Evaluator(
            policy=policy,
            from_version=move.from_version,
            to_version=move.to_version,
            duration_ms=move.by_ms - move.started_ms,
        )

        self._observed_s = clock.monotonic_s()

    def age_s(self) -> float:
        """Returns the time since evidence was last evaluated, in seconds."""
        return self._clock.monotonic_s() - self._observed_s

    async def run(self) -> None:
        """Evaluates every 250 ms until cancelled."""
        while True:
            await self._clock.sleep_s(EVALUATE_S)
            await self.evaluate_once()

    def add(self, report: evidence.Evidence) -> bool:
        """Adds a report of a gate; returns False if it is ignored."""
        return self._store.add(report, now_s=self._clock.monotonic_s())

    async def evaluate_once(self) -> None:
        """Evaluates new evidence and withdraws the version if it is faulty."""
        verdict = self.judge_new()
        if verdict is None or self.is_withdrawn():
            return
        cause = self._events.record(
            "fault-found",
            service=self._move.service,
            version=self._move.to_version,
            move_id=self._move.move_id,
            route=verdict.route,
            reason=verdict.reason,
            new_calls=verdict.new_calls,
            evidence=round(verdict.evidence_log, 2),
        )
        await self._withdrawals.add(
            withdraw.Withdraw(
                self._move.move_id,
                self._move.service,
                self._move.to_version,
                verdict.reason,
                self._node_id,
                cause,
            )
        )

    def judge_new(self) -> route_verdict.RouteVerdict | None:
        """Evaluates new evidence; returns the verdict of a faulty route."""
        now_s = self._clock.monotonic_s()
        windows = self._store.take(now_s=now_s)
        if not windows:
            return None
        self._observed_s = now_s
        self.evaluator.observe(windows)
        return self.evaluator.faulty()

    def is_withdrawn(self) -> bool:
        """Returns whether the new version is withdrawn on this node."""
        return self._withdrawals.is_withdrawn(
            self._move.service, self._move.to_version, self._move.move_id
        )
