"""What the own target has announced."""

import logging
import typing

from galenatack.interfaces import clock as clock_interface
from galenatack.model import target_announcement
from galenatack.model import target_state

_LOGGER = logging.getLogger(__name__)

MAX_REMEMBERED = 64
"""Targets that are remembered as gone."""


class OnChanged(typing.Protocol):
    """Is told that the state of the target changed."""

    def __call__(self) -> None:
        """Reads the new state from the registry."""


class TargetRegistry:
    """Keeps the newest announcement of the target beside this node.

    Announcements may be late and out of order. Within a life the sequence
    decides; among lives the time of birth does. A target that has left stays
    gone.

    Args:
        service: Service of this instance.
        clock: Source of time.
        notice_s: How long a draining target takes calls after its
            announcement, so that nodes which have not heard of it yet are
            not refused.
        on_changed: Is told of each change of identity, version or state.
    """

    def __init__(
        self,
        *,
        service: str,
        clock: clock_interface.Clock,
        notice_s: float,
        on_changed: OnChanged,
    ):
        self._service = service
        self._clock = clock
        self._notice_s = notice_s
        self._on_changed = on_changed
        self._gone: dict[tuple[str, int], None] = {}
        self._leaving_s: float | None = None
        self._warm_s = 0.0
        self.current: target_announcement.TargetAnnouncement | None = None
        self.announced_s = 0.0

    def announce(
        self, announcement: target_announcement.TargetAnnouncement
    ) -> bool:
        """Takes an announcement; returns False when it is out of date."""
        if announcement.service != self._service or self._is_outdated(
            announcement
        ):
            _LOGGER.info(
                "event=announcement-ignored target=%s service=%s born_ms=%d"
                " sequence=%d",
                announcement.target_id,
                announcement.service,
                announcement.born_ms,
                announcement.sequence,
            )
            return False
        before = self.current
        self.current = announcement
        self.announced_s = self._clock.monotonic_s()
        if before is None or _life(before) != _life(announcement):
            self._begin_life(announcement)
        if announcement.state == target_state.TargetState.DRAINING:
            self._note_leaving()
        else:
            self._leaving_s = None
        if before is None or _shown(before) != _shown(announcement):
            self._report()
        return True

    def leave(self, target_id: str, born_ms: int) -> None:
        """Takes the last word of a target that ends."""
        life = (target_id, born_ms)
        current = self.current
        is_current = current is not None and current.target_id == target_id
        if is_current and born_ms in (0, current.born_ms):
            life = _life(current)
            self.current = current._replace(
                state=target_state.TargetState.GONE.value
            )
            self._note_leaving()
            self._report()
        self._gone[life] = None
        while len(self._gone) > MAX_REMEMBERED:
            del self._gone[next(iter(self._gone))]

    @property
    def state(self) -> str:
        """State of the target; empty before its first announcement."""
        return self.current.state if self.current else ""

    def is_accepting(self) -> bool:
        """Tells whether the target may get calls now."""
        if self.current is None:
            return False
        if self._leaving_s is None:
            return True
        return self._clock.monotonic_s() - self._leaving_s < self._notice_s

    def is_warm(self) -> bool:
        """Tells whether the target's cold start is over."""
        return self._clock.monotonic_s() >= self._warm_s

    def _begin_life(
        self, announcement: target_announcement.TargetAnnouncement
    ) -> None:
        self._leaving_s = None
        self._warm_s = self.announced_s + announcement.warm_up_left_ms / 1000

    def _note_leaving(self) -> None:
        if self._leaving_s is None:
            self._leaving_s = self._clock.monotonic_s()

    def _is_outdated(
        self, announcement: target_announcement.TargetAnnouncement
    ) -> bool:
        if _life(announcement) in self._gone:
            return True
        current = self.current
        if current is None:
            return False
        if _life(current) == _life(announcement):
            return announcement.sequence <= current.sequence
        return announcement.born_ms < current.born_ms

    def _report(self) -> None:
        announcement = self.current
        _LOGGER.info(
            "event=target-announced target=%s version=%s state=%s slots=%d"
            " born_ms=%d sequence=%d",
            announcement.target_id,
            announcement.version,
            announcement.state,
            announcement.slots,
            announcement.born_ms,
            announcement.sequence,
        )
        self._on_changed()


def _life(
    announcement: target_announcement.TargetAnnouncement,
) -> tuple[str, int]:
    return (announcement.target_id, announcement.born_ms)


def _shown(
    announcement: target_announcement.TargetAnnouncement,
) -> tuple[object, ...]:
    return (
        *_life(announcement),
        announcement.version,
        announcement.slots,
        announcement.state,
    )
