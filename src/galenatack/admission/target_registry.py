"""Latest announcement of the local target."""

import logging
import math
import typing

from galenatack.admission import birth_clock
from galenatack.admission import departed_targets
from galenatack.interfaces import clock as clock_interface
from galenatack.model import member_record
from galenatack.model import target_announcement
from galenatack.model import target_state

_LOGGER = logging.getLogger(__name__)

_UNANNOUNCED = -1
"""Sequence number of a target of which only the leave is known."""

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
    has left stays gone, also if its leave is the first that is heard of it.

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
        self._births = birth_clock.BirthClock(clock=clock)
        self._gone = departed_targets.DepartedTargets(births=self._births)
        # Target of the latest leave message.
        self._left_id = ""
        self._birth: birth_clock.Birth | None = None
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
        before = self._announced()
        self.announced_s = self._clock.monotonic_s()
        if before is None or _identity(before) != _identity(announcement):
            if before is not None and before.born_ms > announcement.born_ms:
                # Its late announcements name the later start time.
                self._gone.add(before.target_id, self._birth)
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
        """Handles the leave message of a target.

        Args:
            target_id: The target.
            born_ms: Its start time; 0 if the message does not name it. Then
                the current incarnation is meant, or any that has started.
        """
        current = self.current
        is_exact = True
        if not born_ms:
            is_exact = current is not None and current.target_id == target_id
            born_ms = current.born_ms if is_exact else self._clock.wall_ms()
        self._left_id = target_id
        self._end(target_id, self._births.receive(born_ms, is_exact=is_exact))

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
        is_gone = record.target_state == target_state.TargetState.GONE
        # The record is older than a leave message that this run received.
        if is_gone or record.target_id == self._left_id:
            self._end(
                record.target_id, self._births.receive(record.target_born_ms)
            )
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

    def _announced(self) -> target_announcement.TargetAnnouncement | None:
        """Returns the current announcement, unless only a leave is known."""
        if self.current and self.current.sequence == _UNANNOUNCED:
            return None
        return self.current

    def _end(self, target_id: str, birth: birth_clock.Birth) -> None:
        """Ends an incarnation of a target and all before it."""
        self._gone.add(target_id, birth)
        current = self.current
        if current is None:
            # Peers are told, so that this node learns it after a restart.
            self.current = self._unannounced(target_id, birth.born_ms)
            self._start_leaving(is_new=False)
            self._report()
            return
        if current.target_id != target_id:
            return
        if birth.born_ms < self._earliest_ms():
            return
        if current.state != target_state.TargetState.GONE:
            self.current = current._replace(
                state=target_state.TargetState.GONE.value
            )
            self._start_leaving()
            self._report()

    def _unannounced(
        self, target_id: str, born_ms: int
    ) -> target_announcement.TargetAnnouncement:
        return target_announcement.TargetAnnouncement(
            target_id=target_id,
            service=self._service,
            version="",
            slots=0,
            state=target_state.TargetState.GONE.value,
            warm_up_left_ms=0,
            born_ms=born_ms,
            sequence=_UNANNOUNCED,
        )

    def _start_incarnation(
        self, announcement: target_announcement.TargetAnnouncement
    ) -> None:
        self._leaving_s = None
        self._has_said_leaving = False
        self._birth = self._births.receive(announcement.born_ms)
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
        if self._gone.has(announcement.target_id, announcement.born_ms):
            return True
        current = self._announced()
        if current is None:
            return False
        if _identity(current) == _identity(announcement):
            return announcement.sequence <= current.sequence
        return announcement.born_ms < self._earliest_ms()

    def _earliest_ms(self) -> float:
        """Returns the start time that another start of the target may name."""
        if self._birth is None:
            return self.current.born_ms
        return self._births.earliest_ms(self._birth)

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
