"""Latest announcement of the local target."""

import logging
import math
import typing

from galenatack.interfaces import clock as clock_interface
from galenatack.model import member_record
from galenatack.model import target_announcement
from galenatack.model import target_state

_LOGGER = logging.getLogger(__name__)

MAX_GONE_TARGETS = 64
"""Maximum number of gone targets that are kept."""

MAX_CLOCK_AHEAD_MS = 86_400_000
"""A start time further in the future is not one of the target: it would make
all later announcements outdated."""


class OnChanged(typing.Protocol):
    """Called after the identity, version, slots or state changed."""

    def __call__(self) -> None:
        """Handles the change; the new state is in the registry."""


class TargetRegistry:
    """Keeps the newest announcement of the local target.

    Announcements may be late and out of order. They are ordered by start time,
    and by sequence number within one incarnation of the target. A target that
    has left stays gone.

    Args:
        service: Service of this instance.
        clock: Source of time.
        drain_notice_s: Time for which a draining target still accepts calls,
            from nodes that have not received the change yet.
        on_changed: Called after each change of identity, version, slots or
            state.
    """

    def __init__(
        self,
        *,
        service: str,
        clock: clock_interface.Clock,
        drain_notice_s: float,
        on_changed: OnChanged,
    ):
        self._service = service
        self._clock = clock
        self._drain_notice_s = drain_notice_s
        self._on_changed = on_changed
        self._gone: dict[tuple[str, int], None] = {}
        self._leaving_s: float | None = None
        self._has_said_leaving = False
        self._warm_from_s = 0.0
        self.current: target_announcement.TargetAnnouncement | None = None
        self.announced_s = 0.0

    def announce(
        self, announcement: target_announcement.TargetAnnouncement
    ) -> bool:
        """Applies an announcement; returns False if it is ignored.

        Ignored are outdated announcements and those of other services.
        """
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
        self.announced_s = self._clock.monotonic_s()
        if before is None or _identity(before) != _identity(announcement):
            self._start_incarnation(announcement)
        if self._has_said_leaving:
            announcement = announcement._replace(
                state=target_state.TargetState.DRAINING.value
            )
        self.current = announcement
        if announcement.state == target_state.TargetState.DRAINING:
            self._start_leaving(is_new=before is not None)
        else:
            self._leaving_s = None
        if before is None or _reported_fields(before) != _reported_fields(
            announcement
        ):
            self._report()
        return True

    def leave(self, target_id: str, born_ms: int) -> None:
        """Handles the leave message of a target."""
        identity = (target_id, born_ms)
        current = self.current
        is_current = current is not None and current.target_id == target_id
        if is_current and born_ms in (0, current.born_ms):
            identity = _identity(current)
            self.current = current._replace(
                state=target_state.TargetState.GONE.value
            )
            self._start_leaving()
            self._report()
        self._gone[identity] = None
        while len(self._gone) > MAX_GONE_TARGETS:
            del self._gone[next(iter(self._gone))]

    def note_leaving(self, target_id: str) -> None:
        """Handles an answer in which a target says that it is leaving.

        Its announcements may still say otherwise; it leaves all the same.
        """
        current = self.current
        if self._has_said_leaving or current is None:
            return
        if current.target_id != target_id:
            return
        self._has_said_leaving = True
        if current.state != target_state.TargetState.READY:
            return
        self.current = current._replace(
            state=target_state.TargetState.DRAINING.value
        )
        self._start_leaving()
        self._report()

    def restore(self, record: member_record.MemberRecord) -> None:
        """Applies what a previous run of this node announced to its peers.

        The target has often outlived the node. It is used again at once, unless
        it was leaving: then a late announcement must not bring it back.
        """
        if record.target_state == target_state.TargetState.GONE:
            self.leave(record.target_id, record.target_born_ms)
            if self.state == target_state.TargetState.GONE:
                self._start_leaving(is_new=False)
            return
        is_applied = self.announce(
            target_announcement.TargetAnnouncement(
                target_id=record.target_id,
                service=record.service,
                version=record.version,
                slots=record.slots,
                state=record.target_state,
                warm_up_left_ms=0,
                born_ms=record.target_born_ms,
                sequence=record.target_sequence,
            )
        )
        if is_applied:
            if record.target_state == target_state.TargetState.DRAINING:
                self._start_leaving(is_new=False)
            _LOGGER.info(
                "event=target-restored target=%s state=%s",
                record.target_id,
                record.target_state,
            )

    @property
    def state(self) -> str:
        """State of the target; empty before its first announcement."""
        return self.current.state if self.current else ""

    def is_accepting(self) -> bool:
        """Returns whether the target may get calls now."""
        if self.current is None:
            return False
        if self._leaving_s is None:
            return True
        return (
            self._clock.monotonic_s() - self._leaving_s < self._drain_notice_s
        )

    def is_warm(self) -> bool:
        """Returns whether the target's warm-up is over."""
        return self._clock.monotonic_s() >= self._warm_from_s

    def _start_incarnation(
        self, announcement: target_announcement.TargetAnnouncement
    ) -> None:
        self._leaving_s = None
        self._has_said_leaving = False
        self._warm_from_s = (
            self.announced_s + announcement.warm_up_left_ms / 1000
        )

    def _start_leaving(self, *, is_new: bool = True) -> None:
        """Starts the notice time, unless a run before may have done so."""
        if not is_new:
            self._leaving_s = -math.inf
        elif self._leaving_s is None:
            self._leaving_s = self._clock.monotonic_s()

    def _is_outdated(
        self, announcement: target_announcement.TargetAnnouncement
    ) -> bool:
        if announcement.born_ms > self._clock.wall_ms() + MAX_CLOCK_AHEAD_MS:
            return True
        if _identity(announcement) in self._gone:
            return True
        current = self.current
        if current is None:
            return False
        if _identity(current) == _identity(announcement):
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


def _identity(
    announcement: target_announcement.TargetAnnouncement,
) -> tuple[str, int]:
    return (announcement.target_id, announcement.born_ms)


def _reported_fields(
    announcement: target_announcement.TargetAnnouncement,
) -> tuple[object, ...]:
    return (
        *_identity(announcement),
        announcement.version,
        announcement.slots,
        announcement.state,
    )
