"""Distinguishes cold calls of a target from warm ones."""

from galenatack.interfaces import clock as clock_interface

COLD_S = 10.0
COLD_CALLS = 20


class WarmUp:
    """A target is cold until 10 s and 20 calls have passed."""

    def __init__(self, *, clock: clock_interface.Clock):
        self._clock = clock
        self._first_call_s: float | None = None
        self._calls = 0

    def is_warm(self) -> bool:
        """Counts one call and returns whether the target was warm for it."""
        now_s = self._clock.monotonic_s()
        if self._first_call_s is None:
            self._first_call_s = now_s
        self._calls += 1
        is_past_time = now_s - self._first_call_s >= COLD_S
        return is_past_time and self._calls > COLD_CALLS
