"""Runs one node's session for each move of its service."""

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

# Nodes that evaluate the evidence of their own data centre. There are as many
# as candidates for driving, so every candidate has the evidence.
LOCAL_EVALUATORS = move_driver.MAX_CANDIDATES
REMOTE_EVALUATORS = 1


class MoveRunner:
    """Counts evidence, detects faults and is a candidate for driving.

    Args:
        members: Members; the record of this node has its service and version.
        lease_table: Table of the lease rows.
        writer: Write path of move states.
        withdrawals: Withdrawn versions.
        peers: Links to the nodes of the service.
        clock: Clock.
        events: Event log.
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
        """Handles a state in force of the move of this node's service."""
        is_same = self._move is not None and self._move.move_id == move.move_id
        self._move = move
        self._policy = policy
        if is_same and self._session is not None:
            self._session.on_running(move)
        self._changed.set()

    def record_outcome(
        self, route: str, is_error: bool, latency_ms: float, is_warm: bool
    ) -> None:
        """Counts a call that ended at this node's target."""
        if self._counter is not None:
            self._counter.record(
                route,
                self._members.own.version,
                is_error=is_error,
                latency_ms=latency_ms,
                is_warm=is_warm,
            )

    def is_own_version_withdrawn(self) -> bool:
        """Returns whether this node's target gets no new calls.

        A withdrawal that raced with a `done` has no effect; the verdict is
        final.
        """
        own = self._members.own
        move = self._move
        if move is None or move.phase == move_phase.MovePhase.DONE:
            return False
        return self._withdrawals.is_withdrawn(
            own.service, own.version, move.move_id
        )

    async def run(self) -> None:
        """Runs a session for one move after another until cancelled."""
        while True:
            move = self._move
            if move is None or not move_session.is_open(move):
                self._changed = anyio.Event()
                await self._changed.wait()
                continue
            await self._run_session(move)

    async def _run_session(self, move: move_state.MoveState) -> None:
        # The counts must survive a restart of this task, because the other
        # nodes compute differences of them.
        if move.move_id != self._counter_move_id:
            self._counter = evidence_counter.EvidenceCounter()
            self._counter_move_id = move.move_id
        self._session = self._new_session(move)
        self._events.record(
            "move-joined", service=move.service, move_id=move.move_id
        )
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._cancel_when_superseded, move, tasks)
                verdict = await self._session.run()
                tasks.cancel_scope.cancel()
        finally:
            self._session = None
        if self._move.move_id == move.move_id:
            self._move = verdict

    async def _cancel_when_superseded(
        self, move: move_state.MoveState, tasks: anyio.abc.TaskGroup
    ) -> None:
        """Cancels the session when another move comes into force."""
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
            recipients=lambda: self._evidence_recipients(move.move_id),
            rank=lambda: self._rank(move.move_id),
            target_count=lambda: self._target_count(move.to_version),
        )

    def _evidence_recipients(self, move_id: str) -> list[str]:
        """Returns the nodes that get this node's reports.

        These are several nodes of this data centre, so it can withdraw a
        faulty version even when cut off, and one node of each other data
        centre, which are the first candidates for driving. The number of
        reports to all nodes of the service would grow with the square of the
        number of nodes.
        """
        data_centres = self._serving_data_centres()
        ranked = node_roles.rank(data_centres, move_id)
        return evidence_recipients(ranked, data_centres, self._members.own)

    def _target_count(self, version: str) -> int:
        """Returns the number of serving targets of a version."""
        own = self._members.own
        return sum(
            record.service == own.service
            and record.version == version
            and record.status == member_status.MemberStatus.SERVING
            for record in self._members.live()
        )

    def _rank(self, move_id: str) -> int | None:
        """Returns this node's rank, with one node of each data centre first.

        Three candidates from one data centre would all lose the platform at
        the same time.
        """
        own_id = self._members.own.node_id
        data_centres = self._serving_data_centres()
        ordered = rank_across_data_centres(
            node_roles.rank(data_centres, move_id), data_centres
        )
        return ordered.index(own_id) if own_id in ordered else None

    def _serving_data_centres(self) -> dict[str, str]:
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


def rank_across_data_centres(
    ranked: collections.abc.Sequence[str],
    data_centres: collections.abc.Mapping[str, str],
) -> list[str]:
    """Moves the first node of each data centre to the front."""
    seen: set[str] = set()
    firsts = []
    rest = []
    for node_id in ranked:
        is_first = data_centres[node_id] not in seen
        seen.add(data_centres[node_id])
        (firsts if is_first else rest).append(node_id)
    return firsts + rest


def evidence_recipients(
    ranked: collections.abc.Sequence[str],
    data_centres: collections.abc.Mapping[str, str],
    own: member_record.MemberRecord,
) -> list[str]:
    """Returns the nodes that get the reports of `own`, ordered by rank."""
    recipient_counts: dict[str, int] = {}
    chosen = []
    for node_id in ranked:
        data_centre = data_centres[node_id]
        is_local = data_centre == own.data_centre
        limit = LOCAL_EVALUATORS if is_local else REMOTE_EVALUATORS
        recipient_counts[data_centre] = recipient_counts.get(data_centre, 0) + 1
        if recipient_counts[data_centre] <= limit and node_id != own.node_id:
            chosen.append(node_id)
    return chosen
