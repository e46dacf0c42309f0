"""Latest announcement of the local target."""

import logging
import math
import typing

from galenatack.interfaces import clock as clock_interface
from galenatack.model import member_record
from galenatack.model import target_announcement
from galenatack.model import target_state

_LOGGER = logging.getLogger(__name__)
_Value = typing.TypeVar("_Value")

_UNANNOUNCED = -1
"""Sequence number of a target of which only the leave is known."""

MAX_GONE_TARGETS = 64
"""Maximum number of gone targets that are kept."""

MAX_CLOCK_AHEAD_MS = 86_400_000
"""A start time further in the future is not one of the target: it would make
all later announcements outdated."""


CLOCK_TOLERANCE_MS = 50
"""Smaller differences between the clocks come from rounding and slewing."""


class _Birth(typing.NamedTuple):
    """Start time of an incarnation.

    Attributes:
        born_ms: Start time, wall clock.
        clock_ahead_ms: Wall clock minus monotonic clock when it was received.
        is_exact: False if the incarnation started at this time or before.
    """

    born_ms: int
    clock_ahead_ms: float
    is_exact: bool = True


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
        # The latest incarnation that is gone, by target.
        self._gone: dict[str, _Birth] = {}
        # Targets of which a leave message was received.
        self._left: dict[str, None] = {}
        self._birth: _Birth | None = None
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
                _put(self._gone, before.target_id, self._birth)
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
        _put(self._left, target_id, None)
        self._end(target_id, born_ms, is_exact=is_exact)

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
        if is_gone or record.target_id in self._left:
            self._end(record.target_id, record.target_born_ms)
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

    def _end(
        self, target_id: str, born_ms: int, *, is_exact: bool = True
    ) -> None:
        """Ends the incarnations of a target that started until a time."""
        gone = self._gone.get(target_id)
        if gone is None or born_ms > gone.born_ms - self._set_back_ms(gone):
            birth = _Birth(born_ms, self._clock_ahead_ms(), is_exact)
            _put(self._gone, target_id, birth)
        current = self.current
        if current is None:
            # Peers are told, so that this node learns it after a restart.
            self.current = self._unannounced(target_id, born_ms)
            self._start_leaving(is_new=False)
            self._report()
            return
        if current.target_id != target_id or born_ms < self._earliest_ms():
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
        self._birth = _Birth(announcement.born_ms, self._clock_ahead_ms())
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
        gone = self._gone.get(announcement.target_id)
        if gone is not None and (
            announcement.born_ms == gone.born_ms
            or announcement.born_ms <= gone.born_ms - self._set_back_ms(gone)
        ):
            return True
        current = self._announced()
        if current is None:
            return False
        if _identity(current) == _identity(announcement):
            return announcement.sequence <= current.sequence
        return announcement.born_ms < self._earliest_ms()

    def _clock_ahead_ms(self) -> float:
        return self._clock.wall_ms() - self._clock.monotonic_s() * 1000

    def _set_back_ms(self, birth: _Birth) -> float:
        """Returns by how much the wall clock was set back since a birth.

        The target may have started again meanwhile and name an earlier time.
        """
        set_back_ms = birth.clock_ahead_ms - self._clock_ahead_ms()
        if not birth.is_exact or set_back_ms < CLOCK_TOLERANCE_MS:
            return 0.0
        return set_back_ms

    def _earliest_ms(self) -> float:
        """Returns the start time that another start of the target may name."""
        if self._birth is None:
            return self.current.born_ms
        return self.current.born_ms - self._set_back_ms(self._birth)

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


def _put(entries: dict[str, _Value], key: str, value: _Value) -> None:
    """Sets the newest entry and drops the oldest ones above the limit."""
    entries.pop(key, None)
    entries[key] = value
    while len(entries) > MAX_GONE_TARGETS:
        del entries[next(iter(entries))]


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
