"""Step times of a move, from the remaining time."""

import typing

STEPS_PERMILLE = (50, 250, 500, 1000)
# The verdict is written this long before the promised time, so that it
# reaches every node before nodes without it return to the old version.
VERDICT_MARGIN_MS = 10_000
MIN_DWELL_MS = 2_000
# The first step has the smallest share and needs the longest time.
FIRST_STEP_PERMILLE = 600
PERMILLE = 1000


class Plan(typing.NamedTuple):
    """When a move may step up, wall clock in milliseconds.

    Attributes:
        verdict_ms: Latest time to write `done`.
        step_starts_ms: Latest time to begin each step while in time; a step
            begins earlier when the evidence is clear and the dwell is over.
    """

    verdict_ms: int
    step_starts_ms: tuple[int, ...]


def make(*, now_ms: int, by_ms: int) -> Plan:
    """Spreads the steps over the time that remains."""
    verdict_ms = by_ms - VERDICT_MARGIN_MS
    remaining_ms = max(0, verdict_ms - now_ms)
    first_ms = remaining_ms * FIRST_STEP_PERMILLE // PERMILLE
    later = len(STEPS_PERMILLE) - 1
    later_ms = (remaining_ms - first_ms) // later
    starts = (
        now_ms,
        *(now_ms + first_ms + later_ms * number for number in range(later)),
    )
    return Plan(verdict_ms, starts)


def dwell_ms(*, started_ms: int, by_ms: int) -> int:
    """Returns the shortest time that a step lasts.

    A twentieth of the time: long enough that faults which show after some
    time show at a low share, short enough to be done in time.
    """
    return max(MIN_DWELL_MS, (by_ms - started_ms) // 20)
