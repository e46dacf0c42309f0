"""The tasks that one node of a service runs for one open move."""

import collections.abc

import anyio

from galenatack.interfaces import clock as clock_interface
from galenatack.interfaces import event_sink
from galenatack.interfaces import peer_network
from galenatack.interfaces import table as table_interface
from galenatack.messages import evidence
from galenatack.model import member_record
from galenatack.model import move_phase
from galenatack.model import move_policy
from galenatack.model import move_state
from galenatack.moves import evidence_counter
from galenatack.moves import evidence_sender
from galenatack.moves import fault_detector
from galenatack.moves import lease
from galenatack.moves import move_driver
from galenatack.moves import move_writer
from galenatack.moves import withdrawals as withdrawals_module

# A node that joins a move later than this treats first reports as baselines.
LATE_MS = 2_000


class MoveSession:
    """Evidence sender, fault detector and driver of one move on one node.

    The application creates one for each open move of the node's service, passes
    it incoming `Evidence` and the states that come into force, and runs it in a
    task group.

    Args:
        move: The open move.
        counter: Outcomes of this move, recorded by the inbound gate.
        policy: Policy of the profile.
        own: This node's member record.
        recipients: Returns the node ids of the nodes that get the reports.
        rank: Returns this node's rank among the candidates, or None.
        target_count: Returns the number of live targets of the new version.
    """

    def __init__(
        self,
        *,
        move: move_state.MoveState,
        counter: evidence_counter.EvidenceCounter,
        policy: move_policy.MovePolicy,
        own: member_record.MemberRecord,
        clock: clock_interface.Clock,
        events: event_sink.EventSink,
        peers: peer_network.PeerNetwork,
        table: table_interface.Table,
        writer: move_writer.MoveWriter,
        withdrawals: withdrawals_module.Withdrawals,
        recipients: collections.abc.Callable[[], collections.abc.Iterable[str]],
        rank: collections.abc.Callable[[], int | None],
        target_count: collections.abc.Callable[[], int],
    ):
        self._move = move
        self._policy = policy
        self._own = own
        self._clock = clock
        self._events = events
        self._withdrawals = withdrawals
        self._counter = counter
        self._detector = self._make_detector()
        self._sender = self._make_sender(peers, recipients)
        self._driver = self._make_driver(table, writer, rank, target_count)

    async def run(self) -> move_state.MoveState:
        """Runs until the driver has the verdict and returns the final state."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._sender.run)
            tasks.start_soon(self._detector.run)
            state = await self._driver.run()
            tasks.cancel_scope.cancel()
        return state

    def add(self, report: evidence.Evidence) -> bool:
        """Adds a report of another gate; returns False if it is ignored."""
        return self._detector.add(report)

    def on_running(self, move: move_state.MoveState) -> None:
        """Handles a move state that came into force on this node."""
        self._driver.on_running(move)

    def _make_detector(self) -> fault_detector.FaultDetector:
        age_ms = self._clock.wall_ms() - self._move.started_ms
        return fault_detector.FaultDetector(
            move=self._move,
            policy=self._policy,
            node_id=self._own.node_id,
            clock=self._clock,
            events=self._events,
            withdrawals=self._withdrawals,
            is_late=age_ms > LATE_MS,
        )

    def _make_sender(
        self,
        peers: peer_network.PeerNetwork,
        recipients: collections.abc.Callable[[], collections.abc.Iterable[str]],
    ) -> evidence_sender.EvidenceSender:
        return evidence_sender.EvidenceSender(
            move=self._move,
            counter=self._counter,
            detector=self._detector,
            clock=self._clock,
            peers=peers,
            node_id=self._own.node_id,
            incarnation=self._own.boot_ms,
            data_centre=self._own.data_centre,
            recipients=recipients,
        )

    def _make_driver(
        self,
        table: table_interface.Table,
        writer: move_writer.MoveWriter,
        rank: collections.abc.Callable[[], int | None],
        target_count: collections.abc.Callable[[], int],
    ) -> move_driver.MoveDriver:
        return move_driver.MoveDriver(
            move=self._move,
            policy=self._policy,
            detector=self._detector,
            withdrawals=self._withdrawals,
            lease=lease.Lease(
                service=self._move.service,
                node_id=self._own.node_id,
                incarnation=self._own.boot_ms,
                table=table,
                clock=self._clock,
            ),
            writer=writer,
            clock=self._clock,
            events=self._events,
            rank=rank,
            target_count=target_count,
        )


def is_open(move: move_state.MoveState) -> bool:
    """Returns whether a move has no verdict yet."""
    return move.phase == move_phase.MovePhase.RUNNING
