"""What happens when an invariant is violated."""

import collections
import logging

from galenatack import exceptions

_logger = logging.getLogger(__name__)

RAISE = "raise"
COUNT = "count"

_mode = RAISE
_counts: collections.Counter[str] = collections.Counter()


def set_mode(mode: str) -> None:
    """Selects `raise` (tests, demo) or `count` (production)."""
    global _mode
    if mode not in (RAISE, COUNT):
        raise exceptions.SettingsError(f"invariants: unknown mode {mode!r}")
    _mode = mode


def report(violation: exceptions.InvariantViolationError) -> None:
    """Raises the violation, or counts and logs it.

    Raises:
        exceptions.InvariantViolationError: In mode `raise`.
    """
    if _mode == RAISE:
        raise violation
    _counts[violation.code] += 1
    _logger.error("event=invariant code=%s %s", violation.code, violation)


def counts() -> dict[str, int]:
    """Returns the number of counted violations by code."""
    return dict(_counts)
