"""Callbacks between the parts of a node.

Parts depend on each other in cycles: a heartbeat carries the held seq, and the
held seq is compared with heartbeats. The callbacks break these cycles: they are
created first, and `connect` sets the parts afterwards.
"""

from galenatack.config import entry_codec
from galenatack.config import log_state
from galenatack.config import profile_codec
from galenatack.config import propagation as propagation_module
from galenatack.config import row_keys
from galenatack.config import state_rebuild
from galenatack.interfaces import event_sink
from galenatack.membership import member_table
from galenatack.membership import neighbour_sync
from galenatack.membership import node_roles
from galenatack.messages import heartbeat as heartbeat_message
from galenatack.model import entry
from galenatack.model import member_status
from galenatack.model import rejection
from galenatack.moves import move_runner as move_runner_module
from galenatack.moves import states_in_force
from galenatack.routing import inbound_gate
from galenatack.routing import snapshot_holder
from galenatack.routing import snapshot_updater
from galenatack.timeline import hybrid_clock

MAX_SHOWN_REJECTIONS = 16
"""Maximum rejections in a member record; the time line keeps all of them."""


class NodeCallbacks:
    """Callbacks of one node; call `connect` before the parts run."""

    def __init__(self):
        self._move_states = states_in_force.StatesInForce()

    def connect(
        self,
        *,
        hlc: hybrid_clock.HybridClock,
        members: member_table.MemberTable,
        state: log_state.LogState,
        propagation: propagation_module.Propagation,
        updater: snapshot_updater.SnapshotUpdater,
        move_runner: move_runner_module.MoveRunner,
        withdrawal_sync: neighbour_sync.NeighbourSync,
        holder: snapshot_holder.SnapshotHolder,
        gate: inbound_gate.InboundGate,
        events: event_sink.EventSink,
    ) -> None:
        """Sets the parts that the callbacks use."""
        self._hlc = hlc
        self._members = members
        self._state = state
        self._propagation = propagation
        self._updater = updater
        self._move_runner = move_runner
        self._withdrawal_sync = withdrawal_sync
        self._holder = holder
        self._gate = gate
        self._events = events
        members.subscribe(self._on_members_changed)

    def heartbeat(self) -> heartbeat_message.Heartbeat:
        """Returns the heartbeat to send."""
        return heartbeat_message.Heartbeat(
            self._propagation.announced_seq,
            self._members.digest(),
            self._hlc.now(),
        )

    async def on_heartbeat(
        self, peer_id: str, beat: heartbeat_message.Heartbeat
    ) -> None:
        """Handles a peer's heartbeat; sends all withdrawals to a new peer."""
        self._hlc.observe(beat.hlc)
        self._propagation.on_heartbeat(peer_id, beat.held_seq)
        await self._withdrawal_sync.on_heartbeat(peer_id)

    def on_link_lost(self, node_id: str) -> None:
        """Marks a peer to be sent all withdrawals when it is back."""
        self._withdrawal_sync.on_link_lost(node_id)

    def live_in_data_centre(self) -> list[str]:
        """Returns the live node ids of the own data centre."""
        return list(
            self._members.cached("live-in-data-centre", self._scan_data_centre)
        )

    def is_reader(self) -> bool:
        """Returns whether this node reads the platform."""
        return node_roles.is_reader(self._members)

    def is_rebuild_reader(self) -> bool:
        """Returns whether this joining node reads the platform for others.

        Joining nodes need the answers of a few settled nodes. When a whole
        data centre starts, a few of its nodes read the platform and the
        others pull from them.
        """
        own = self._members.own
        statuses = {
            record.node_id: record.status
            for record in self._members.live()
            if record.data_centre == own.data_centre
        }
        joining = [
            node_id
            for node_id, status in statuses.items()
            if status == member_status.MemberStatus.JOINING
        ]
        settled = len(statuses) - len(joining)
        missing = max(0, state_rebuild.ENOUGH_PEERS - settled)
        return own.node_id in node_roles.rank(joining, "rebuild")[:missing]

    def is_cleaner(self) -> bool:
        """Returns whether this node deletes old claim rows."""
        elected = self._members.cached("cleaner", self._elect_cleaner)
        return elected == [self._members.own.node_id]

    def on_running(self, entries: tuple[entry.Entry, ...]) -> None:
        """Handles the entries of a step that is now in force."""
        for changed in entries:
            if changed.key.startswith(row_keys.MOVE):
                self._move_states.record(entry_codec.parse_move(changed.body))
        self._updater.rebuild()
        service = self._members.own.service
        table = self._holder.current.services.get(service)
        if table is not None:
            self._gate.limit_queue(table.limits.queue_entries)
        keys = {changed.key for changed in entries}
        if row_keys.MOVE + service in keys:
            self._update_move(service)

    def on_rejection(self, refused: rejection.Rejection) -> None:
        """Adds a rejected version to the own member record."""
        shown = (*self._members.own.rejections, refused)
        self._members.update_own(rejections=shown[-MAX_SHOWN_REJECTIONS:])

    def _update_move(self, service: str) -> None:
        running = self._state.running()
        move = entry_codec.parse_move(running[row_keys.MOVE + service].body)
        choice = running.get(row_keys.SERVICE + service)
        if choice is None:
            return
        name = entry_codec.parse_choice(choice.body).profile
        profile = profile_codec.parse(running[row_keys.PROFILE + name].body)
        self._move_runner.on_running(move, profile.move_policy)

    def _on_members_changed(self, records) -> None:
        for record in records:
            if record.status in (
                member_status.MemberStatus.DEAD,
                member_status.MemberStatus.JOINING,
            ):
                self._propagation.remove_peer(record.node_id)
                self._withdrawal_sync.on_link_lost(record.node_id)

    def _scan_data_centre(self) -> tuple[str, ...]:
        own = self._members.own
        return tuple(
            record.node_id
            for record in self._members.live()
            if record.data_centre == own.data_centre
        )

    def _elect_cleaner(self) -> list[str]:
        node_ids = [
            record.node_id
            for record in self._members.live()
            if record.status == member_status.MemberStatus.SERVING
        ]
        return node_roles.rank(node_ids, "claim-cleanup")[:1]
