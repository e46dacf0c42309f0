"""Withdrawn target versions, which are flooded once and never reinstated."""

import collections.abc

from galenatack.interfaces import clock as clock_interface
from galenatack.interfaces import event_sink
from galenatack.interfaces import peer_network
from galenatack.messages import withdraw

Callback = collections.abc.Callable[[withdraw.Withdraw], None]
_Key = tuple[str, str, str]


class Withdrawals:
    """Handles `Withdraw` messages and floods each one once.

    A withdrawal applies to its move only; a later move may try the same version
    again.
    """

    def __init__(
        self,
        *,
        clock: clock_interface.Clock,
        peers: peer_network.PeerNetwork,
        events: event_sink.EventSink,
    ):
        self._clock = clock
        self._peers = peers
        self._events = events
        self._withdrawals: dict[_Key, withdraw.Withdraw] = {}
        self._since_s: dict[_Key, float] = {}
        self._callbacks: list[Callback] = []
        peers.on(withdraw.Withdraw, self._receive)

    def is_withdrawn(self, service: str, version: str, move_id: str) -> bool:
        """Returns whether the version is withdrawn in this move."""
        return (service, version, move_id) in self._withdrawals

    def get(
        self, service: str, version: str, move_id: str
    ) -> withdraw.Withdraw | None:
        """Returns the first withdrawal of the version in this move."""
        return self._withdrawals.get((service, version, move_id))

    def since_s(self, service: str, version: str, move_id: str) -> float | None:
        """Returns the monotonic time of the withdrawal on this node."""
        return self._since_s.get((service, version, move_id))

    def all(self) -> tuple[withdraw.Withdraw, ...]:
        """Returns all withdrawals known to this node."""
        return tuple(self._withdrawals.values())

    def subscribe(self, callback: Callback) -> None:
        """Calls `callback` for each new withdrawal, before it is flooded."""
        self._callbacks.append(callback)

    async def add(self, message: withdraw.Withdraw) -> bool:
        """Applies a withdrawal here, then floods it; False if already known."""
        return await self._add(message, exclude=None)

    async def _receive(self, sender: str, message: withdraw.Withdraw) -> None:
        await self._add(message, exclude=sender)

    async def _add(
        self, message: withdraw.Withdraw, *, exclude: str | None
    ) -> bool:
        key = (message.service, message.version, message.move_id)
        if key in self._withdrawals:
            return False
        self._withdrawals[key] = message
        self._since_s[key] = self._clock.monotonic_s()
        self._events.record(
            "version-withdrawn",
            cause=message.cause,
            service=message.service,
            version=message.version,
            move_id=message.move_id,
            found_by=message.node_id,
            reason=message.reason,
        )
        for callback in self._callbacks:
            callback(message)
        await self._peers.broadcast(message, exclude=exclude)
        return True
