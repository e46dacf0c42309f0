"""Reports violated invariants: raises, or counts and logs them."""

import collections
import logging

from galenatack import exceptions

RAISE = "raise"
COUNT = "count"

_log = logging.getLogger(__name__)
_mode = RAISE
_counts: collections.Counter[str] = collections.Counter()


def set_mode(mode: str) -> None:
    """Sets how violations are handled.

    Args:
        mode: `raise` for tests and the demo, `count` for production.

    Raises:
        exceptions.SettingsError: The mode is unknown.
    """
    global _mode
    if mode not in (RAISE, COUNT):
        raise exceptions.SettingsError(
            f"invariants: expected raise or count, got {mode!r}"
        )
    _mode = mode


def report(violation: exceptions.InvariantViolationError) -> None:
    """Counts the violation; raises it in mode `raise`, otherwise logs it.

    Raises:
        exceptions.InvariantViolationError: The mode is `raise`.
    """
    _counts[violation.code] += 1
    if _mode == RAISE:
        raise violation
    _log.error("event=invariant-violated code=%s %s", violation.code, violation)


def counts() -> dict[str, int]:
    """Returns the number of violations by code."""
    return dict(_counts)


def reset() -> None:
    """Removes all counts."""
    _counts.clear()
