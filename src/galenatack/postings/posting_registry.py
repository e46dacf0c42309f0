"""Registry of the postings of a gate, bounded by count and bytes."""

import heapq
import itertools

from galenatack.interfaces import clock
from galenatack.model import call_result
from galenatack.postings import posting_record
from galenatack.postings import ticket_codec

DEFAULT_MAX_RECORDS = 20_000
DEFAULT_MAX_BYTES = 8 * 1024 * 1024
CLOCK_SKEW_S = 60.0
PLAIN_RETENTION_S = ticket_codec.LIFETIME_MS / 1000 + CLOCK_SKEW_S


class PostingRegistry:
    """Posting records by service and key.

    The record of a ticket is kept until 60 s (for clock skew) after the
    ticket's expiry, measured on the monotonic clock. `ticket_floor_ms` holds
    the latest expiry of a dropped record. Tickets at or below it are refused
    even after the wall clock was set back, so no dropped ticket can run again.
    The record of a plain key is kept for 660 s; after that its claim row
    prevents a second run.

    Attributes:
        ticket_floor_ms: Tickets that expire then or earlier are refused.
        used_bytes: Estimated memory of the records.
    """

    def __init__(
        self,
        *,
        clock: clock.Clock,
        max_records: int = DEFAULT_MAX_RECORDS,
        max_bytes: int = DEFAULT_MAX_BYTES,
    ):
        self._clock = clock
        self._max_records = max_records
        self._max_bytes = max_bytes
        self._records: dict[tuple[str, str], posting_record.PostingRecord] = {}
        self._drops: list[tuple[float, int, posting_record.PostingRecord]] = []
        self._numbers = itertools.count()
        self.ticket_floor_ms = 0
        self.used_bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    def get(
        self, service: str, key: str
    ) -> posting_record.PostingRecord | None:
        """Returns the record of a key."""
        return self._records.get((service, key))

    def add(self, record: posting_record.PostingRecord) -> bool:
        """Adds a record.

        Returns:
            False if the registry is full; the posting must not run then.
        """
        size = record.fixed_bytes()
        if len(self._records) >= self._max_records:
            return False
        if self.used_bytes + size > self._max_bytes:
            return False
        self._records[record.service, record.key] = record
        self.used_bytes += size
        self._schedule(record, self._retention_s(record))
        return True

    def keep_result(
        self,
        record: posting_record.PostingRecord,
        result: call_result.CallResult,
    ) -> None:
        """Stores the result for repeats, unless it exceeds the byte limit.

        Without a stored result, repeats get `unknown`.
        """
        size = _result_bytes(result)
        if self.used_bytes + size > self._max_bytes:
            return
        record.result = result
        record.answer_bytes = size
        self.used_bytes += size

    def remove(self, record: posting_record.PostingRecord) -> None:
        """Removes a record if it is still the current one of its key."""
        if self.get(record.service, record.key) is record:
            del self._records[record.service, record.key]
            self.used_bytes -= record.fixed_bytes() + record.answer_bytes

    def expire(self) -> None:
        """Drops the records of ended attempts whose retention is over.

        Must be called before each look-up.
        """
        now_s = self._clock.monotonic_s()
        while self._drops and self._drops[0][0] <= now_s:
            _, _, record = heapq.heappop(self._drops)
            if self.get(record.service, record.key) is not record:
                continue
            if record.shared_result is not None:
                self._schedule(record, CLOCK_SKEW_S)
                continue
            self.ticket_floor_ms = max(
                self.ticket_floor_ms, record.ticket_expires_ms
            )
            self.remove(record)

    def _retention_s(self, record: posting_record.PostingRecord) -> float:
        if not record.ticket_expires_ms:
            return PLAIN_RETENTION_S
        remaining_ms = record.ticket_expires_ms - self._clock.wall_ms()
        return max(0.0, remaining_ms / 1000) + CLOCK_SKEW_S

    def _schedule(
        self, record: posting_record.PostingRecord, delay_s: float
    ) -> None:
        drop_s = self._clock.monotonic_s() + delay_s
        heapq.heappush(self._drops, (drop_s, next(self._numbers), record))


def _result_bytes(result: call_result.CallResult) -> int:
    headers = sum(len(name) + len(text) for name, text in result.headers)
    return len(result.body) + headers
