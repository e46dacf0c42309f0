"""Notices that a target has stopped answering with all its slots in use.

Some targets neither answer nor refuse a request that they cannot queue, nor any
further one on that connection. Each call at such a target costs its caller a
whole time-out, and so would each call that took its slot.
"""

import collections.abc
import logging

from galenatack.interfaces import clock as clock_interface

_LOGGER = logging.getLogger(__name__)

MS_PER_S = 1000.0

STALL_FACTOR = 8.0
"""Multiple of the expected time that every running call has exceeded. Service
times of one route rarely spread by more than four."""

MIN_STALL_S = 1.0
"""A target is silent for this long during a pause of its machine too."""

UNKNOWN_STALL_S = 3.0
"""The same for calls of which the expected time is not known yet."""


class StallDetector:
    """Finds out whether a target has stalled, until it answers again.

    Args:
        clock: Source of time.

    Attributes:
        stalls: Number of stalls that were found.
        is_stalled: Whether the target has stalled. One call at a time tests it.
    """

    def __init__(self, *, clock: clock_interface.Clock):
        self._clock = clock
        self._test_id = ""
        self._answered_s = clock.monotonic_s()
        self.stalls = 0
        self.is_stalled = False

    def check(
        self,
        running: collections.abc.Mapping[str, tuple[float, float]],
        slots: int,
    ) -> bool:
        """Returns whether the target has stalled.

        Args:
            running: Start time and expected time in ms of each running call.
            slots: Calls that it runs at most.
        """
        if self.is_stalled:
            return True
        now_s = self._clock.monotonic_s()
        self.is_stalled = len(running) >= slots and all(
            now_s - max(started_s, self._answered_s) > _silence_s(expected_ms)
            for started_s, expected_ms in running.values()
        )
        if self.is_stalled:
            self.stalls += 1
            _LOGGER.warning(
                "event=target-stalled running=%d slots=%d silent_ms=%.0f"
                " next=%s",
                len(running),
                slots,
                (now_s - self._answered_s) * MS_PER_S,
                "look-at-the-target-or-restart-it",
            )
        return self.is_stalled

    def may_test(
        self, running: collections.abc.Mapping[str, tuple[float, float]]
    ) -> bool:
        """Returns whether a call may test the stalled target."""
        return self._test_id not in running

    def start_test(self, call_id: str) -> None:
        """Notes the call that tests the stalled target."""
        self._test_id = call_id

    def note_answer(self) -> None:
        """Notes an answer of the target, which ends the stall."""
        self._answered_s = self._clock.monotonic_s()
        if self.is_stalled:
            self.is_stalled = False
            _LOGGER.info("event=target-answers-again")


def _silence_s(expected_ms: float) -> float:
    """Returns the silence after which a call does not count as slow."""
    if not expected_ms:
        return UNKNOWN_STALL_S
    return max(MIN_STALL_S, STALL_FACTOR * expected_ms / MS_PER_S)
