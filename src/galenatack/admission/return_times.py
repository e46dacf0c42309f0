"""Times at which refused callers are told to come back."""

from galenatack.interfaces import clock as clock_interface
from galenatack.interfaces import random_source

MS_PER_S = 1000.0

MIN_RETRY_AFTER_MS = 60.0
"""A refused caller retries after about one service time at the earliest."""

MAX_RETRY_AFTER_MS = 2000.0

MAX_CROWDS = 64
"""Tenants and priorities that are kept apart before those are forgotten whose
last caller was told a time that is past."""

RETRY_JITTER = 0.5
"""Jitter as a share of the wait, for callers of several gates and nodes."""


class ReturnTimes:
    """Gives each refused caller a time of its own.

    The times follow each other as fast as slots become free, from the time on
    at which the backlog has room. Callers that are told the same time would be
    too many again.

    Args:
        clock: Source of time.
        rng: Source of jitter.
    """

    def __init__(
        self,
        *,
        clock: clock_interface.Clock,
        rng: random_source.RandomSource,
    ):
        self._clock = clock
        self._rng = rng
        self._last_s: dict[tuple[str, int], float] = {}

    def book_ms(
        self,
        room_ms: float,
        interval_ms: float,
        left_ms: float,
        *,
        priority: int,
        tenant: str,
    ) -> int:
        """Returns when a caller may come back.

        Args:
            room_ms: Time until the backlog has room.
            interval_ms: Time after which a further slot becomes free.
            left_ms: Time that the caller has. One that has less than it would
                be told takes no turn of another.
            priority: Priority of the refused call, which comes back behind
                those that are as urgent.
            tenant: Its tenant, whose callers alone it comes back behind.
        """
        now_s = self._clock.monotonic_s()
        room_ms = max(MIN_RETRY_AFTER_MS, room_ms)
        last_s = max(
            (
                each_s
                for (each, urgency), each_s in self._last_s.items()
                if each == tenant and urgency <= priority
            ),
            default=0.0,
        )
        turn_ms = (last_s - now_s) * MS_PER_S + interval_ms
        after_ms = max(room_ms, turn_ms)
        if after_ms < min(left_ms, MAX_RETRY_AFTER_MS):
            self._last_s[tenant, priority] = now_s + after_ms / MS_PER_S
            if len(self._last_s) > MAX_CROWDS:
                self._forget(now_s)
        after_ms = min(after_ms, MAX_RETRY_AFTER_MS / (1.0 + RETRY_JITTER))
        return int(after_ms * (1.0 + self._rng.random() * RETRY_JITTER))

    def _forget(self, now_s: float) -> None:
        self._last_s = {
            crowd: last_s
            for crowd, last_s in self._last_s.items()
            if last_s > now_s
        }
