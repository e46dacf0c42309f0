"""Step times of a move, from the remaining time."""

STEPS_PERMILLE = (50, 250, 500, 1000)
# The verdict is written this long before the promised time, so that it
# reaches every node before nodes without it return to the old version.
VERDICT_MARGIN_MS = 10_000
MIN_DWELL_MS = 2_000
PERMILLE = 1000


def active_targets(share_permille: int, targets: int) -> int:
    """Returns how many targets give each of them its normal load; 0 is all.

    Faults that need load stay hidden when a quarter of the calls is spread
    over all targets.
    """
    if share_permille >= PERMILLE:
        return 0
    return max(1, share_permille * targets // PERMILLE)


def dwell_ms(*, started_ms: int, by_ms: int) -> int:
    """Returns the shortest time that a step lasts.

    A twentieth of the time: long enough that faults which show after some
    time show at a low share, short enough to be done in time.
    """
    return max(MIN_DWELL_MS, (by_ms - started_ms) // 20)
