"""Remembers under which requests targets have crashed."""

import collections
import collections.abc
import logging
import math
import typing

from galenatack.interfaces import clock as clock_interface
from galenatack.model import crash_entry
from galenatack.quarantine import request_fingerprint

_LOGGER = logging.getLogger(__name__)

MS_PER_S = 1000.0

QUARANTINE_CRASHES = 3
"""Crashes after which a request is quarantined."""

QUARANTINE_S = 600.0
"""Time after its last crash for which a request is quarantined."""

TRIAL_CRASHES = 2
"""Crashes after which a request is sent only as a trial."""

OnChanged = collections.abc.Callable[[bytes], None]

EXPIRY_S = 2 * QUARANTINE_S
"""Time after its last crash for which a request is remembered. One that is let
through after its quarantine is quarantined again by a single further crash."""

MAX_REQUESTS = 2048
MAX_CRASHES_PER_REQUEST = 8
"""The newest ones are kept."""


class CrashLedger:
    """Counts the crashes under each request; all nodes hold the same ones.

    Every call that a target was running when it crashed makes its request a
    suspect. The request that caused it crashes the next target too, while
    the others are answered there, which clears them. Equal requests may have
    been running on several targets that crash together for another reason:
    only runs that began as suspects count one by one.

    Entries are merged as sets in which a cleared entry wins, so that they may
    arrive in any order and repeatedly.

    Args:
        clock: Source of time.
    """

    def __init__(self, *, clock: clock_interface.Clock):
        self._clock = clock
        self._records: collections.OrderedDict[bytes, _Record] = (
            collections.OrderedDict()
        )
        self._suspects: set[bytes] = set()
        self._suspect_heads: collections.Counter[bytes] = collections.Counter()
        self._callbacks: list[OnChanged] = []

    def __len__(self) -> int:
        """Returns the number of remembered requests."""
        return len(self._records)

    def on_changed(self, callback: OnChanged) -> None:
        """Calls `callback` with each request of which there is news."""
        self._callbacks.append(callback)

    @property
    def quarantined(self) -> int:
        """Number of requests in quarantine."""
        return sum(
            self.refusal_ms(fingerprint) > 0 for fingerprint in self._suspects
        )

    def find(self, request: request_fingerprint.Request) -> bytes | None:
        """Returns the fingerprint of a request if targets crashed under it."""
        if not self._suspects:
            return None
        head = request_fingerprint.of_head(request)
        # Spares the digest of bodies, which may be large.
        if head not in self._suspect_heads:
            return None
        fingerprint = head + request_fingerprint.of_body(request)
        return fingerprint if self.crashes(fingerprint) else None

    def crashes(self, fingerprint: bytes) -> int:
        """Returns how many crashes are held against a request."""
        record = self._records.get(fingerprint)
        if record is None or self._is_expired(record):
            return 0
        return record.crashes

    def refusal_ms(self, fingerprint: bytes) -> int:
        """Returns for how long a request is refused; 0 if it may be sent."""
        if self.crashes(fingerprint) < QUARANTINE_CRASHES:
            return 0
        until_s = self._records[fingerprint].last_s + QUARANTINE_S
        return max(0, round((until_s - self._clock.monotonic_s()) * MS_PER_S))

    def add(
        self, entries: collections.abc.Iterable[crash_entry.CrashEntry]
    ) -> tuple[crash_entry.CrashEntry, ...]:
        """Merges entries and returns those that were news."""
        news = tuple(entry for entry in entries if self._merge(entry))
        self._evict()
        for fingerprint in {entry.fingerprint for entry in news}:
            for callback in self._callbacks:
                callback(fingerprint)
        return news

    def clear(self, fingerprint: bytes) -> tuple[crash_entry.CrashEntry, ...]:
        """Clears all crashes of a request and returns their entries."""
        return self.add(
            entry._replace(is_cleared=True)
            for entry in self.entries_of(fingerprint)
            if not entry.is_cleared
        )

    def entries(self) -> tuple[crash_entry.CrashEntry, ...]:
        """Returns the entries of all requests that have crashes."""
        return tuple(
            entry
            for fingerprint in self._suspects
            if self.crashes(fingerprint)
            for entry in self.entries_of(fingerprint)
        )

    def entries_of(
        self, fingerprint: bytes
    ) -> tuple[crash_entry.CrashEntry, ...]:
        """Returns the entries of one request, also those that were cleared."""
        now_s = self._clock.monotonic_s()
        record = self._records.get(fingerprint) or _Record()
        return tuple(
            crash_entry.CrashEntry(
                fingerprint,
                crash_id,
                int((now_s - crash.at_s) * MS_PER_S),
                crash.was_suspect,
                crash.is_cleared,
            )
            for crash_id, crash in record.by_id.items()
        )

    def _merge(self, entry: crash_entry.CrashEntry) -> bool:
        crashed_s = self._clock.monotonic_s() - entry.age_ms / MS_PER_S
        if entry.age_ms > EXPIRY_S * MS_PER_S:
            return False
        record = self._records.get(entry.fingerprint)
        if record is None or self._is_expired(record):
            record = self._start_record(entry.fingerprint)
        crash = _Crash(crashed_s, entry.was_suspect, entry.is_cleared)
        if not record.merge(entry.crash_id, crash):
            return False
        self._records.move_to_end(entry.fingerprint)
        self._note_suspect(entry.fingerprint, is_suspect=record.crashes > 0)
        if not entry.is_cleared and record.crashes >= TRIAL_CRASHES:
            is_quarantined = record.crashes >= QUARANTINE_CRASHES
            _LOGGER.warning(
                "event=%s fingerprint=%s crashes=%d crash=%s for_ms=%d",
                "request-quarantined" if is_quarantined else "request-held",
                entry.fingerprint.hex(),
                record.crashes,
                entry.crash_id,
                self.refusal_ms(entry.fingerprint),
            )
        return True

    def _start_record(self, fingerprint: bytes) -> "_Record":
        self._remove(fingerprint)
        record = _Record()
        self._records[fingerprint] = record
        return record

    def _evict(self) -> None:
        """Removes expired records, and the oldest ones beyond the limit.

        Requests that are refused are the last to go beyond the limit.
        """
        while self._records:
            oldest, record = next(iter(self._records.items()))
            if self._is_expired(record):
                self._remove(oldest)
            elif len(self._records) > MAX_REQUESTS:
                self._remove(
                    next(
                        (
                            fingerprint
                            for fingerprint, record in self._records.items()
                            if record.crashes < TRIAL_CRASHES
                        ),
                        oldest,
                    )
                )
            else:
                return

    def _remove(self, fingerprint: bytes) -> None:
        if self._records.pop(fingerprint, None) is not None:
            self._note_suspect(fingerprint, is_suspect=False)

    def _note_suspect(self, fingerprint: bytes, *, is_suspect: bool) -> None:
        if is_suspect == (fingerprint in self._suspects):
            return
        head = fingerprint[: request_fingerprint.HALF_BYTES]
        if is_suspect:
            self._suspects.add(fingerprint)
            self._suspect_heads[head] += 1
            return
        self._suspects.discard(fingerprint)
        self._suspect_heads[head] -= 1
        if not self._suspect_heads[head]:
            del self._suspect_heads[head]

    def _is_expired(self, record: "_Record") -> bool:
        return self._clock.monotonic_s() - record.last_s > EXPIRY_S


class _Crash(typing.NamedTuple):
    """A crash under one request."""

    at_s: float
    was_suspect: bool
    is_cleared: bool


class _Record:
    """The newest crashes under one request, by their identifiers."""

    def __init__(self):
        self.by_id: dict[str, _Crash] = {}

    @property
    def crashes(self) -> int:
        """Number of crashes that count; those of first runs count once."""
        open_crashes = [
            crash for crash in self.by_id.values() if not crash.is_cleared
        ]
        as_suspect = sum(crash.was_suspect for crash in open_crashes)
        return as_suspect + (as_suspect < len(open_crashes))

    @property
    def last_s(self) -> float:
        """Monotonic time of the last crash."""
        return max(
            (crash.at_s for crash in self.by_id.values()), default=-math.inf
        )

    def merge(self, crash_id: str, crash: _Crash) -> bool:
        """Merges a crash; returns False if it was known, or is too old."""
        known = self.by_id.get(crash_id)
        if known is not None:
            if known.is_cleared or not crash.is_cleared:
                return False
            self.by_id[crash_id] = known._replace(is_cleared=True)
            return True
        if len(self.by_id) >= MAX_CRASHES_PER_REQUEST:
            oldest = min(self.by_id, key=lambda each: self.by_id[each].at_s)
            if crash.at_s <= self.by_id[oldest].at_s:
                return False
            del self.by_id[oldest]
        self.by_id[crash_id] = crash
        return True
