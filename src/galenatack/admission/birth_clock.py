"""Start times of targets, read from a clock that may be set back."""

import typing

from galenatack.interfaces import clock as clock_interface

TOLERANCE_MS = 50
"""Smaller changes of the clock come from rounding and slewing."""


class Birth(typing.NamedTuple):
    """Start time of an incarnation of a target.

    Attributes:
        born_ms: Start time, wall clock.
        clock_ahead_ms: Wall clock minus monotonic clock when it was received.
        is_exact: False if the incarnation started at this time or before.
    """

    born_ms: int
    clock_ahead_ms: float
    is_exact: bool


class BirthClock:
    """Compares start times also after the wall clock was set back.

    Args:
        clock: Source of time. The target's machine has the same wall clock.
    """

    def __init__(self, *, clock: clock_interface.Clock):
        self._clock = clock

    def receive(self, born_ms: int, *, is_exact: bool = True) -> Birth:
        """Returns a start time that was received now."""
        return Birth(born_ms, self._clock_ahead_ms(), is_exact)

    def earliest_ms(self, birth: Birth) -> float:
        """Returns the earliest time that a later start may name."""
        set_back_ms = birth.clock_ahead_ms - self._clock_ahead_ms()
        if not birth.is_exact or set_back_ms < TOLERANCE_MS:
            return birth.born_ms
        return birth.born_ms - set_back_ms

    def _clock_ahead_ms(self) -> float:
        return self._clock.wall_ms() - self._clock.monotonic_s() * 1000
