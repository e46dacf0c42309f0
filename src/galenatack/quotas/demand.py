"""The recent rate of events."""

import math

from galenatack.interfaces import clock as clock_interface

TIME_CONSTANT_S = 0.5
"""Short, since the demand of a tenant may rise within a second."""


class Demand:
    """Estimates the rate of events by a decaying count.

    Args:
        clock: Source of time.
    """

    def __init__(self, *, clock: clock_interface.Clock):
        self._clock = clock
        self._per_s = 0.0
        self._time_s = clock.monotonic_s()

    def add(self) -> None:
        """Counts one event."""
        self._per_s = self.per_s() + 1 / TIME_CONSTANT_S
        self._time_s = self._clock.monotonic_s()

    def per_s(self) -> float:
        """Returns the rate."""
        age_s = self._clock.monotonic_s() - self._time_s
        return self._per_s * math.exp(-age_s / TIME_CONSTANT_S)

    def age_s(self) -> float:
        """Returns the time since the last event, or since the start."""
        return self._clock.monotonic_s() - self._time_s
