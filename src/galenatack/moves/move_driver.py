"""Drives one open move; only the lease holder's writes take effect."""

import collections.abc

from galenatack import exceptions
from galenatack.config import entry_codec
from galenatack.interfaces import clock as clock_interface
from galenatack.interfaces import event_sink
from galenatack.invariants import verdict_once
from galenatack.model import move_phase
from galenatack.model import move_policy
from galenatack.model import move_state
from galenatack.model import row_check
from galenatack.moves import fault_detector
from galenatack.moves import lease as lease_module
from galenatack.moves import move_writer
from galenatack.moves import step_policy
from galenatack.moves import withdrawals as withdrawals_module

DRIVE_INTERVAL_S = 0.5
MAX_EVIDENCE_AGE_S = 3.0
# Only the first candidates read the lease row, which bounds the reads.
MAX_CANDIDATES = 3


class MoveDriver:
    """Drives one open move on one node of the service.

    Args:
        move: First known state of the move.
        policy: Policy of the profile.
        detector: Fault detector of this node, which holds the evidence.
        withdrawals: Withdrawals known to this node.
        lease: Lease of the service.
        writer: Write path of move states.
        clock: Clock.
        events: Event log.
        rank: Returns the rank of this node among the candidates, or None when
            it is not one.
        target_count: Returns the number of live targets of the new version.
    """

    def __init__(
        self,
        *,
        move: move_state.MoveState,
        policy: move_policy.MovePolicy,
        detector: fault_detector.FaultDetector,
        withdrawals: withdrawals_module.Withdrawals,
        lease: lease_module.Lease,
        writer: move_writer.MoveWriter,
        clock: clock_interface.Clock,
        events: event_sink.EventSink,
        rank: collections.abc.Callable[[], int | None],
        target_count: collections.abc.Callable[[], int],
    ):
        self._move = move
        self._policy = policy
        self._detector = detector
        self._withdrawals = withdrawals
        self._lease = lease
        self._writer = writer
        self._clock = clock
        self._events = events
        self._rank = rank
        self._target_count = target_count
        self._revision: int | None = None
        self._step_since_ms = move.started_ms

    async def run(self) -> move_state.MoveState:
        """Drives the move until its verdict and returns the final state."""
        while not await self._drive_once():
            await self._clock.sleep_s(DRIVE_INTERVAL_S)
        return self._move

    def on_running(self, move: move_state.MoveState) -> None:
        """Handles a move state that came into force on this node."""
        if move.move_id == self._move.move_id:
            self._adopt(move)

    async def _drive_once(self) -> bool:
        """Runs one iteration; returns True once the move has its verdict."""
        if self._has_verdict():
            await self._lease.release()
            return True
        rank = self._rank()
        if rank is None or rank >= MAX_CANDIDATES:
            return False
        try:
            await self._drive(rank)
        except exceptions.PlatformError as error:
            self._revision = None
            if isinstance(error, exceptions.TransactionConflictError):
                self._on_conflict(error)
        except (exceptions.NotFoundError, exceptions.LeaseLostError) as error:
            # A missing entry of one service must not end the tasks of others.
            self._revision = None
            self._record("move-driver-failed", code=error.code)
        return False

    async def _drive(self, rank: int) -> None:
        if not self._lease.is_held:
            self._revision = None
            if not await self._lease.acquire(rank=rank):
                return
            self._record("move-driver-started", rank=rank)
        elif not await self._lease.renew():
            self._record("move-lease-lost")
            return
        if self._revision is None:
            await self._read()
        if not self._has_verdict():
            await self._decide()

    async def _read(self) -> None:
        found = await self._writer.read_entry(f"move/{self._move.service}")
        if found is None:
            return
        entry, revision = found
        state = entry_codec.parse_move(entry.body)
        if state.move_id == self._move.move_id:
            self._adopt(state)
            self._revision = revision
        else:
            # The row holds a later move, so this one has its verdict.
            self._adopt(
                self._move._replace(phase=str(move_phase.MovePhase.TAKEN_BACK))
            )

    async def _decide(self) -> None:
        if self._revision is None:
            return
        decision = step_policy.decide(
            self._move,
            policy=self._policy,
            evaluator=self._detector.evaluator,
            withdrawn=self._withdrawals.get(
                self._move.service, self._move.to_version, self._move.move_id
            ),
            now_ms=self._clock.wall_ms(),
            step_since_ms=self._step_since_ms,
            is_fresh=self._detector.age_s() <= MAX_EVIDENCE_AGE_S,
            target_count=self._target_count(),
        )
        if decision is not None:
            await self._write(decision)

    async def _write(self, decision: move_state.MoveState) -> None:
        verdict_once.check(self._move, decision)
        service = self._move.service
        checks = (
            row_check.RowCheck(f"entry/move/{service}", self._revision),
            self._lease.check(),
        )
        self._revision = None
        await self._writer.write_move(decision, checks=checks)
        self._adopt(decision)
        self._record(
            "move-written",
            phase=decision.phase,
            step=decision.step,
            share_permille=decision.share_permille,
            reason=decision.reason,
        )

    def _on_conflict(self, error: exceptions.TransactionConflictError) -> None:
        if any(key.startswith("lease/") for key in error.keys):
            self._lease.drop()
            self._record("move-lease-lost")

    def _adopt(self, state: move_state.MoveState) -> None:
        if self._has_verdict():
            return
        is_verdict = state.phase != move_phase.MovePhase.RUNNING
        if state.step > self._move.step:
            self._step_since_ms = self._clock.wall_ms()
        elif not is_verdict:
            return
        self._move = state

    def _has_verdict(self) -> bool:
        return self._move.phase != move_phase.MovePhase.RUNNING

    def _record(self, kind: str, **facts: object) -> None:
        self._events.record(
            kind,
            service=self._move.service,
            move_id=self._move.move_id,
            **facts,
        )
