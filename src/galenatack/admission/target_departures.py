"""Acknowledges the departure of the local target once a peer knows of it."""

import collections.abc
import logging

from galenatack.admission import target_registry
from galenatack.model import target_announcement
from galenatack.model import target_state

_LOGGER = logging.getLogger(__name__)

Confirm = collections.abc.Callable[[], collections.abc.Awaitable[bool]]


class TargetDepartures:
    """Passes announcements to the registry; returns when they are known.

    After the acknowledgement, a target that drains or leaves relies on it, also
    when its node restarts. The restarted node learns of it from its peers.

    Args:
        registry: Handles the announcements.
        confirm: Sends the own member record to peers; returns whether one of
            them has it.
    """

    def __init__(
        self, *, registry: target_registry.TargetRegistry, confirm: Confirm
    ):
        self._registry = registry
        self._confirm = confirm
        self._confirmed: tuple[str, int, str] | None = None

    async def announce(
        self, announcement: target_announcement.TargetAnnouncement
    ) -> bool:
        """Handles an announcement; returns False if it is out of date."""
        is_applied = self._registry.announce(announcement)
        await self._confirm_departure()
        return is_applied

    async def leave(self, target_id: str, born_ms: int) -> None:
        """Handles the leave message of a target."""
        self._registry.leave(target_id, born_ms)
        await self._confirm_departure()

    async def _confirm_departure(self) -> None:
        current = self._registry.current
        if current is None or current.state == target_state.TargetState.READY:
            return
        departure = (current.target_id, current.born_ms, current.state)
        if departure == self._confirmed:
            return
        if await self._confirm():
            self._confirmed = departure
        else:
            # The target leaves anyway. The peers are told once they are back.
            _LOGGER.warning(
                "event=departure-unconfirmed target=%s state=%s",
                current.target_id,
                current.state,
            )
