"""Members on a simulated network in virtual time."""

import random

import anyio
import anyio.abc

from galenatack.membership import member_table
from galenatack.membership import membership_service
from galenatack.messages import heartbeat
from galenatack.model import member_record
from tests.fakes import event_list
from tests.fakes import member_records
from tests.fakes import memory_network
from tests.fakes import virtual_clock


class Member:
    """A node with a table and the membership service."""

    def __init__(
        self,
        network: memory_network.MemoryNetwork,
        record: member_record.MemberRecord,
    ):
        clock = virtual_clock.VirtualClock()
        self.events = event_list.EventList()
        self.peers = network.join(record.node_id)
        self.table = member_table.MemberTable(own=record, clock=clock)
        self.service = membership_service.MembershipService(
            table=self.table,
            peers=self.peers,
            clock=clock,
            rng=random.Random(record.node_id),
            events=self.events,
        )
        self.peers.on_lost(self.service.on_link_lost)

    def statuses(self, node_id: str) -> list[str]:
        """Returns the recorded statuses of a node of the same data centre."""
        return [
            facts["status"]
            for _, facts in self.events.events
            if facts.get("member") == node_id
        ]


class Cluster:
    """Members in data centres `a1`, `a2` (region a) and `b1` (region b)."""

    def __init__(self, tasks: anyio.abc.TaskGroup, *, per_data_centre: int):
        self._tasks = tasks
        self._scopes: dict[str, anyio.CancelScope] = {}
        self.network = memory_network.MemoryNetwork(tasks, rng=random.Random(7))
        self.members: dict[str, Member] = {}
        for data_centre in ("a1", "a2", "b1"):
            for number in range(per_data_centre):
                self.start(f"{data_centre}-{number}")

    def start(self, node_id: str, *, incarnation: int = 1) -> Member:
        """Starts a member, or restarts it with a new incarnation."""
        record = member_records.build(
            node_id,
            incarnation=incarnation,
            data_centre=node_id[:2],
            region=node_id[:1],
        )
        member = Member(self.network, record)
        self.members[node_id] = member
        scope = self._scopes[node_id] = anyio.CancelScope()
        self._tasks.start_soon(self._run, member, scope)
        return member

    def kill(self, node_id: str) -> None:
        """Stops a member without notice."""
        self._scopes.pop(node_id).cancel()
        self.network.leave(node_id)
        del self.members[node_id]

    def cut_off(self, data_centre: str) -> None:
        """Cuts the links between a data centre and all others."""
        names = sorted(self.members)
        inside = [n for n in names if n.startswith(data_centre)]
        for left in inside:
            for right in names:
                if right not in inside:
                    self.network.cut(left, right)

    def views(self, status_of: str = "") -> set[tuple[tuple[str, str], ...]]:
        """Returns the distinct views of the live members.

        Args:
            status_of: Prefix of the node ids to include.
        """
        return {
            tuple(
                (record.node_id, record.status)
                for record in member.table.live()
                if record.node_id.startswith(status_of)
            )
            for member in self.members.values()
        }

    async def _run(self, member: Member, scope: anyio.CancelScope) -> None:
        def own_heartbeat() -> heartbeat.Heartbeat:
            return heartbeat.Heartbeat(0, member.table.digest(), 0)

        with scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(member.service.run)
                tasks.start_soon(member.peers.send_heartbeats, own_heartbeat)
