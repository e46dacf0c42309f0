"""Everything that one node of a service runs for one open move."""

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
from galenatack.moves import evidence_book
from galenatack.moves import evidence_sender
from galenatack.moves import fault_watch
from galenatack.moves import lease
from galenatack.moves import move_driver
from galenatack.moves import move_writer
from galenatack.moves import withdrawals as withdrawals_module

LATE_MS = 2_000


class MoveSession:
    """Sender, fault watch and driver of one move on one node.

    The application makes one for each open move of the node's own service,
    hands it the `Evidence` that arrives and the states that come into force,
    and runs it in a task group.

    Args:
        move: The open move.
        book: Where the inbound gate records the outcomes of this move.
        policy: Policy of the profile.
        own: This node's member record.
        others: Returns the node ids of the other nodes of the service.
        rank: Returns this node's rank among the candidates, or None.
        targets: Returns the number of live targets of the new version.
    """

    def __init__(
        self,
        *,
        move: move_state.MoveState,
        book: evidence_book.EvidenceBook,
        policy: move_policy.MovePolicy,
        own: member_record.MemberRecord,
        clock: clock_interface.Clock,
        events: event_sink.EventSink,
        peers: peer_network.PeerNetwork,
        table: table_interface.Table,
        writer: move_writer.MoveWriter,
        withdrawals: withdrawals_module.Withdrawals,
        others: collections.abc.Callable[[], collections.abc.Iterable[str]],
        rank: collections.abc.Callable[[], int | None],
        targets: collections.abc.Callable[[], int],
    ):
        self._watch = fault_watch.FaultWatch(
            move=move,
            policy=policy,
            node_id=own.node_id,
            clock=clock,
            events=events,
            withdrawals=withdrawals,
            is_late=clock.wall_ms() - move.started_ms > LATE_MS,
        )
        self._sender = evidence_sender.EvidenceSender(
            move=move,
            book=book,
            watch=self._watch,
            clock=clock,
            peers=peers,
            node_id=own.node_id,
            incarnation=own.boot_ms,
            data_centre=own.data_centre,
            targets=others,
        )
        self._driver = move_driver.MoveDriver(
            move=move,
            policy=policy,
            watch=self._watch,
            withdrawals=withdrawals,
            lease=lease.Lease(
                service=move.service,
                node_id=own.node_id,
                incarnation=own.boot_ms,
                table=table,
                clock=clock,
            ),
            writer=writer,
            clock=clock,
            events=events,
            rank=rank,
            targets=targets,
        )

    async def run(self) -> move_state.MoveState:
        """Runs until the driver knows the verdict, and returns the state."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._sender.run)
            tasks.start_soon(self._watch.run)
            state = await self._driver.run()
            tasks.cancel_scope.cancel()
        return state

    def add(self, report: evidence.Evidence) -> bool:
        """Takes a report of another gate."""
        return self._watch.add(report)

    def on_running(self, move: move_state.MoveState) -> None:
        """Takes a state of the move that came into force on this node."""
        self._driver.on_running(move)


def is_open(move: move_state.MoveState) -> bool:
    """Tells whether a move has no verdict yet."""
    return move.phase == move_phase.MovePhase.RUNNING
