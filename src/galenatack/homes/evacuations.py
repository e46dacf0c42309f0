"""Data centres to whose targets nothing is sent."""

import collections.abc
import logging
import math

from galenatack.interfaces import clock as clock_interface
from galenatack.model import evacuation_record
from galenatack.model import store_revision

_LOGGER = logging.getLogger(__name__)

_Record = evacuation_record.EvacuationRecord

ENDED_KEPT_S = 3600.0
"""Time for which peers are told of an ended evacuation: regions are cut off
from each other for up to an hour."""

REFUSAL_TTL_S = 1.0
"""Time for which the refusal of one evacuated gate counts for its data centre.
The row itself arrives about within this time."""

MAX_DATA_CENTRES = 64
"""Number of data centres that are remembered; the largest fleet has 12. If
there are more, the one whose evacuation ended first is forgotten."""

OnChanged = collections.abc.Callable[[str, bool], None]
"""Receives a data centre and whether it is evacuated now."""


class Evacuations:
    """Follows the operator's rows and what peers know of them.

    A row that is missing after the store was restored from a copy was lost, not
    deleted: only a deletion in the era of the row ends its evacuation. Nodes
    that were cut off then, or have started since, cannot tell the two apart,
    so nodes tell each other the revisions of both.

    Args:
        clock: Source of time.
    """

    def __init__(self, *, clock: clock_interface.Clock):
        self._clock = clock
        self._records: dict[str, _Record] = {}
        self._ended_s: dict[str, float] = {}
        self._refused_until_s: dict[str, float] = {}
        self._active: frozenset[str] = frozenset()
        self._callbacks: list[OnChanged] = []

    def subscribe(self, callback: OnChanged) -> None:
        """Registers a callback for begun and ended evacuations."""
        self._callbacks.append(callback)

    def begin(self, data_centre: str, revision: int) -> None:
        """Handles a row that asks for an evacuation."""
        self._merge(_Record(data_centre, revision))

    def end(self, data_centre: str, revision: int) -> None:
        """Handles the deletion of a row."""
        known = self._records.get(data_centre)
        if known is None:
            return
        era = store_revision.era(revision)
        if era == store_revision.era(known.written):
            self._merge(known._replace(ended=revision))
        elif self.has_evacuated(data_centre):
            _LOGGER.warning(
                "event=evacuation-lost-by-store data_centre=%s era=%d"
                " next=it stays in force; write its row again, or write and"
                " delete it to end it",
                data_centre,
                era,
            )

    def merge(self, records: collections.abc.Iterable[_Record]) -> None:
        """Handles what a peer knows."""
        for record in records:
            self._merge(record)

    def records(self) -> tuple[_Record, ...]:
        """Returns what peers are told: empty in ordinary times."""
        if not self._records:
            return ()
        oldest_s = self._clock.monotonic_s() - ENDED_KEPT_S
        return tuple(
            record
            for name, record in sorted(self._records.items())
            if name in self._active
            or self._ended_s.get(name, -math.inf) > oldest_s
        )

    def in_force(self) -> dict[str, int]:
        """Returns the revision of the row of each evacuation in force."""
        return {
            name: self._records[name].written for name in sorted(self._active)
        }

    def has_evacuated(self, data_centre: str) -> bool:
        """Returns whether the operator has evacuated a data centre."""
        return data_centre in self._active

    def active(self) -> frozenset[str]:
        """Returns the data centres whose targets get no calls now."""
        if not self._refused_until_s:
            return self._active
        now_s = self._clock.monotonic_s()
        for name, until_s in list(self._refused_until_s.items()):
            if now_s >= until_s:
                del self._refused_until_s[name]
        return self._active | frozenset(self._refused_until_s)

    def note_refusal(self, data_centre: str) -> None:
        """Notes that a gate knows of an evacuation, before its row is here."""
        until_s = self._clock.monotonic_s() + REFUSAL_TTL_S
        self._refused_until_s[data_centre] = until_s

    def _merge(self, record: _Record) -> None:
        name = record.data_centre
        known = self._records.get(name)
        if known is None and not self._has_room(record):
            return
        known = known or _Record(name, 0)
        merged = _Record(
            name,
            max(known.written, record.written),
            max(known.ended, record.ended),
        )
        if merged == known:
            return
        self._records[name] = merged
        if merged.written <= merged.ended:
            self._ended_s[name] = self._clock.monotonic_s()
        self._update(name, is_active=merged.written > merged.ended)

    def _has_room(self, record: _Record) -> bool:
        """Makes room for an evacuation in force; returns whether there is."""
        if len(self._records) < MAX_DATA_CENTRES:
            return True
        if record.written <= record.ended:
            # Peers would tell each other of the forgotten ones in turn.
            return False
        ended = [name for name in self._records if name not in self._active]
        if not ended:
            _LOGGER.warning(
                "event=evacuation-ignored data_centre=%s", record.data_centre
            )
            return False
        oldest = min(ended, key=lambda name: self._ended_s[name])
        del self._records[oldest]
        del self._ended_s[oldest]
        return True

    def _update(self, name: str, *, is_active: bool) -> None:
        if is_active == (name in self._active):
            return
        self._active = self._active ^ {name}
        _LOGGER.info(
            "event=%s data_centre=%s revision=%d",
            "evacuation-begun" if is_active else "evacuation-ended",
            name,
            self._records[name].written,
        )
        for callback in self._callbacks:
            callback(name, is_active)
