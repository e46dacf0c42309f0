"""Shares, target counts and step durations of a move."""

STEPS_PERMILLE = (50, 250, 500, 1000)
# Time between the latest verdict and the promised time. The verdict must reach
# every node before nodes without it return to the old version.
VERDICT_MARGIN_MS = 10_000
MIN_DWELL_MS = 2_000
PERMILLE = 1000


def active_targets(share_permille: int, target_count: int) -> int:
    """Returns how many targets to use at normal load each; 0 means all.

    Faults that appear only under load stay hidden when a quarter of the calls
    is spread over all targets.
    """
    if share_permille >= PERMILLE:
        return 0
    return max(1, share_permille * target_count // PERMILLE)


def dwell_ms(*, started_ms: int, by_ms: int) -> int:
    """Returns the minimum duration of a step, in milliseconds.

    It is a twentieth of the move: long enough for delayed faults to appear at a
    low share, short enough to finish in time.
    """
    return max(MIN_DWELL_MS, (by_ms - started_ms) // 20)
