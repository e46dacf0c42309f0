"""Sends heartbeats and closes silent and idle links."""

import collections.abc
import logging

import anyio.abc

from galenatack import exceptions
from galenatack.interfaces import clock as clock_interface
from galenatack.links import link_purpose
from galenatack.links import link_registry
from galenatack.links import message_codec
from galenatack.links import peer_link
from galenatack.messages import heartbeat

TICK_S = 0.25
HEARTBEAT_S = 1.0
SILENT_S = 2.0
IDLE_S = 30.0

STALL_S = 1.0
"""A tick this late means that this process stalled, not its peers."""

_LOGGER = logging.getLogger(__name__)

HeartbeatSource = collections.abc.Callable[[], heartbeat.Heartbeat]


class LinkMonitor:
    """Monitors all links with one timer.

    Args:
        registry: The open links.
        clock: Clock of the links.
        heartbeat_source: Returns the heartbeat to send.
    """

    def __init__(
        self,
        *,
        registry: link_registry.LinkRegistry,
        clock: clock_interface.Clock,
        heartbeat_source: HeartbeatSource,
    ):
        self._registry = registry
        self._clock = clock
        self._heartbeat_source = heartbeat_source
        self._last_tick_s = clock.monotonic_s()

    def send_first_heartbeat(self, link: peer_link.PeerLink) -> None:
        """Sends the first heartbeat of a link.

        Its digests show a starting node which state it lacks.
        """
        self._send_heartbeat_to((link,), self._clock.monotonic_s())

    def tick(self, tasks: anyio.abc.TaskGroup) -> None:
        """Sends due heartbeats; closes silent, idle and surplus links.

        Args:
            tasks: Task group for the closing handshakes.
        """
        now_s = self._clock.monotonic_s()
        if now_s - self._last_tick_s > TICK_S + STALL_S:
            for link in self._registry.links():
                link.received_s = now_s
        self._last_tick_s = now_s
        self._send_due_heartbeats(now_s)
        for link in self._registry.links():
            if now_s - link.received_s > SILENT_S:
                _LOGGER.info("event=link-silent peer=%s", link.node_id)
                link.abort()
            elif self._is_idle(link, now_s):
                link.close_soon(tasks)
        for link in (
            *self._registry.surplus_direct(),
            *self._registry.surplus_calls(now_s),
        ):
            link.close_soon(tasks)

    def _send_due_heartbeats(self, now_s: float) -> None:
        # Half a tick of slack keeps the mean interval at one second.
        due_s = now_s - HEARTBEAT_S + TICK_S / 2
        due = [
            link
            for link in self._registry.links()
            if link.heartbeat_sent_s <= due_s
        ]
        if due:
            self._send_heartbeat_to(due, now_s)

    def _send_heartbeat_to(
        self, links: collections.abc.Iterable[peer_link.PeerLink], now_s: float
    ) -> None:
        frame = message_codec.encode(self._heartbeat_source())
        for link in links:
            link.heartbeat_sent_s = now_s
            try:
                link.post_frame(frame, heartbeat.Heartbeat)
            except exceptions.PeerUnreachableError:
                continue

    def _is_idle(self, link: peer_link.PeerLink, now_s: float) -> bool:
        return (
            link.dialled
            and link.purpose not in link_purpose.PERSISTENT
            and not link.pending_requests
            and now_s - link.used_s > IDLE_S
        )
