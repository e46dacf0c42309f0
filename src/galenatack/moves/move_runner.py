"""Runs a node's part in the moves of its own service."""

import collections.abc

import anyio
import anyio.abc

from galenatack.interfaces import clock as clock_interface
from galenatack.interfaces import event_sink
from galenatack.interfaces import peer_network
from galenatack.interfaces import table as table_interface
from galenatack.membership import member_table
from galenatack.membership import node_roles
from galenatack.messages import evidence
from galenatack.model import member_record
from galenatack.model import member_status
from galenatack.model import move_phase
from galenatack.model import move_policy
from galenatack.model import move_state
from galenatack.moves import evidence_counter
from galenatack.moves import move_driver
from galenatack.moves import move_session
from galenatack.moves import move_writer
from galenatack.moves import withdrawals as withdrawals_module

# Nodes of a data centre that evaluate its own evidence: as many as there are
# candidates for driving, so that each of them has it.
NEAR_EVALUATORS = move_driver.MAX_CANDIDATES
FAR_EVALUATORS = 1


class MoveRunner:
    """Counts evidence, watches for faults and is a candidate for driving.

    Args:
        members: Members; the own record names service and version.
        lease_table: Table of the lease rows.
        writer: The write path of move states.
        withdrawals: Withdrawn versions.
        peers: Links to the nodes of the service.
        clock: Time.
        events: Time line.
    """

    def __init__(
        self,
        *,
        members: member_table.MemberTable,
        lease_table: table_interface.Table,
        writer: move_writer.MoveWriter,
        withdrawals: withdrawals_module.Withdrawals,
        peers: peer_network.PeerNetwork,
        clock: clock_interface.Clock,
        events: event_sink.EventSink,
    ):
        self._members = members
        self._lease_table = lease_table
        self._writer = writer
        self._withdrawals = withdrawals
        self._peers = peers
        self._clock = clock
        self._events = events
        self._move: move_state.MoveState | None = None
        self._policy = move_policy.MovePolicy()
        self._counter: evidence_counter.EvidenceCounter | None = None
        self._counter_move_id = ""
        self._session: move_session.MoveSession | None = None
        self._changed = anyio.Event()
        peers.on(evidence.Evidence, self._on_evidence)

    def on_running(
        self, move: move_state.MoveState, policy: move_policy.MovePolicy
    ) -> None:
        """Takes the state of the own service's move that came into force."""
        is_same = self._move is not None and self._move.move_id == move.move_id
        self._move = move
        self._policy = policy
        if is_same and self._session is not None:
            self._session.on_running(move)
        self._changed.set()

    def record_outcome(
        self, route: str, is_error: bool, latency_ms: float, is_warm: bool
    ) -> None:
        """Counts a call that ended at the own target."""
        if self._counter is not None:
            self._counter.record(
                route,
                self._members.own.version,
                is_error=is_error,
                latency_ms=latency_ms,
                is_warm=is_warm,
            )

    def is_own_version_withdrawn(self) -> bool:
        """Tells whether the own target gets no new calls.

        A withdrawal that crossed a `done` has no effect; the verdict is final.
        """
        own = self._members.own
        move = self._move
        if move is None or move.phase == move_phase.MovePhase.DONE:
            return False
        return self._withdrawals.is_withdrawn(
            own.service, own.version, move.move_id
        )

    async def run(self) -> None:
        """Takes part in one move after the other, until cancelled."""
        while True:
            move = self._move
            if move is None or not move_session.is_open(move):
                self._changed = anyio.Event()
                await self._changed.wait()
                continue
            await self._take_part(move)

    async def _take_part(self, move: move_state.MoveState) -> None:
        # After a restart of this task the counts must go on, because the
        # other nodes take differences of them.
        if move.move_id != self._counter_move_id:
            self._counter = evidence_counter.EvidenceCounter()
            self._counter_move_id = move.move_id
        self._session = self._new_session(move)
        self._events.record(
            "move-joined", service=move.service, move_id=move.move_id
        )
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._end_when_replaced, move, tasks)
                verdict = await self._session.run()
                tasks.cancel_scope.cancel()
        finally:
            self._session = None
        if self._move.move_id == move.move_id:
            self._move = verdict

    async def _end_when_replaced(
        self, move: move_state.MoveState, tasks: anyio.abc.TaskGroup
    ) -> None:
        """Ends the session when the entry in force is of another move."""
        while self._move.move_id == move.move_id:
            self._changed = anyio.Event()
            await self._changed.wait()
        tasks.cancel_scope.cancel()

    def _new_session(
        self, move: move_state.MoveState
    ) -> move_session.MoveSession:
        return move_session.MoveSession(
            move=move,
            counter=self._counter,
            policy=self._policy,
            own=self._members.own,
            clock=self._clock,
            events=self._events,
            peers=self._peers,
            table=self._lease_table,
            writer=self._writer,
            withdrawals=self._withdrawals,
            others=lambda: self._evaluators(move.move_id),
            rank=lambda: self._rank(move.move_id),
            targets=lambda: self._targets(move.to_version),
        )

    def _evaluators(self, move_id: str) -> list[str]:
        """Returns the nodes that get this node's reports.

        Some nodes of the own data centre, so that it withdraws a faulty
        version by itself, and one of each other data centre, which are the
        first candidates for driving. Reports to all nodes of the service
        would grow with the square of their number.
        """
        data_centres = self._serving()
        ranked = node_roles.rank(data_centres, move_id)
        return evaluators(ranked, data_centres, self._members.own)

    def _targets(self, version: str) -> int:
        """Returns the number of targets of a version that take calls."""
        own = self._members.own
        return sum(
            record.service == own.service
            and record.version == version
            and record.status == member_status.MemberStatus.SERVING
            for record in self._members.live()
        )

    def _rank(self, move_id: str) -> int | None:
        """Ranks the nodes of the service, one of each data centre first.

        Three candidates from one data centre would all lose the platform
        together.
        """
        own_id = self._members.own.node_id
        data_centres = self._serving()
        ordered = spread_order(
            node_roles.rank(data_centres, move_id), data_centres
        )
        return ordered.index(own_id) if own_id in ordered else None

    def _serving(self) -> dict[str, str]:
        """Returns the data centres of the service's serving nodes."""
        own = self._members.own
        return {
            record.node_id: record.data_centre
            for record in self._members.live()
            if record.service == own.service
            and record.status == member_status.MemberStatus.SERVING
        }

    async def _on_evidence(
        self, sender: str, report: evidence.Evidence
    ) -> None:
        del sender
        if self._session is not None:
            self._session.add(report)


def spread_order(
    ranked: collections.abc.Sequence[str],
    data_centres: collections.abc.Mapping[str, str],
) -> list[str]:
    """Returns the nodes with the first of each data centre in front."""
    seen: set[str] = set()
    firsts = []
    rest = []
    for node_id in ranked:
        is_first = data_centres[node_id] not in seen
        seen.add(data_centres[node_id])
        (firsts if is_first else rest).append(node_id)
    return firsts + rest


def evaluators(
    ranked: collections.abc.Sequence[str],
    data_centres: collections.abc.Mapping[str, str],
    own: member_record.MemberRecord,
) -> list[str]:
    """Returns the nodes that get the reports of `own`, in their rank."""
    taken: dict[str, int] = {}
    chosen = []
    for node_id in ranked:
        data_centre = data_centres[node_id]
        is_near = data_centre == own.data_centre
        most = NEAR_EVALUATORS if is_near else FAR_EVALUATORS
        taken[data_centre] = taken.get(data_centre, 0) + 1
        if taken[data_centre] <= most and node_id != own.node_id:
            chosen.append(node_id)
    return chosen
