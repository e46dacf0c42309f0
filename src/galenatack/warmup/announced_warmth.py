"""Passes on what announcements say of the warmth of the own target."""

from galenatack.admission import target_departures
from galenatack.model import target_announcement
from galenatack.warmup import target_warmth


class AnnouncedWarmth:
    """Handles announcements, as `admission.target_departures` does.

    Args:
        registry: Handles the announcements.
        warmth: Whether the target is cold.
    """

    def __init__(
        self,
        *,
        registry: target_departures.TargetDepartures,
        warmth: target_warmth.TargetWarmth,
    ):
        self._registry = registry
        self._warmth = warmth

    async def announce(
        self, announcement: target_announcement.TargetAnnouncement
    ) -> bool:
        """Handles an announcement; returns False if it is out of date."""
        is_applied = await self._registry.announce(announcement)
        if is_applied:
            self._warmth.announce(announcement.warm_up_left_ms)
        return is_applied

    async def leave(self, target_id: str, born_ms: int) -> None:
        """Handles the leave message of a target."""
        await self._registry.leave(target_id, born_ms)
