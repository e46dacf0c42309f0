"""Finds out whether peers have the current record of this node."""

import collections.abc
import logging

import anyio

from galenatack import exceptions
from galenatack.interfaces import clock as clock_interface
from galenatack.interfaces import peer_network
from galenatack.membership import member_table
from galenatack.messages import members

_LOGGER = logging.getLogger(__name__)

TIMEOUT_S = 0.5
"""A target waits one second for an acknowledgement before it asks again."""

POLL_S = 0.02
PEERS = 2
"""Neighbours that are asked at the same time; one may be frozen."""

Flood = collections.abc.Callable[[], collections.abc.Awaitable[None]]


class RecordConfirmation:
    """Sends the own member record and waits until a neighbour has it.

    Args:
        table: Member table.
        peers: Links to other nodes.
        clock: Source of time.
        flood: Sends the changed records to all neighbours.
    """

    def __init__(
        self,
        *,
        table: member_table.MemberTable,
        peers: peer_network.PeerNetwork,
        clock: clock_interface.Clock,
        flood: Flood,
    ):
        self._table = table
        self._peers = peers
        self._clock = clock
        self._flood = flood

    async def confirm(self) -> bool:
        """Returns whether a neighbour has the record, after 0.5 s at most.

        A node without neighbours, such as one that is starting, waits for the
        first one.
        """
        await self._flood()
        confirmed = anyio.Event()
        with anyio.move_on_after(TIMEOUT_S):
            while not self._peers.neighbours():
                await self._clock.sleep_s(POLL_S)
            async with anyio.create_task_group() as tasks:
                for peer in self._nearest():
                    tasks.start_soon(self._ask, peer, confirmed)
                await confirmed.wait()
                tasks.cancel_scope.cancel()
        return confirmed.is_set()

    async def _ask(self, peer: str, confirmed: anyio.Event) -> None:
        message = members.Members((self._table.own,))
        try:
            await self._peers.request(peer, message, timeout_s=TIMEOUT_S)
        except exceptions.PeerError as error:
            _LOGGER.info(
                "event=record-unconfirmed peer=%s error=%s", peer, error
            )
        else:
            confirmed.set()

    def _nearest(self) -> list[str]:
        """Returns neighbours, those of the own data centre first."""
        data_centre = self._table.own.data_centre

        def is_elsewhere(node_id: str) -> bool:
            record = self._table.get(node_id)
            return record is None or record.data_centre != data_centre

        neighbours = sorted(self._peers.neighbours())
        return sorted(neighbours, key=is_elsewhere)[:PEERS]
