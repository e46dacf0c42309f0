"""What happens when an invariant is found violated."""

import collections
import logging

from galenatack import exceptions

MODE_RAISE = "raise"
MODE_COUNT = "count"

_log = logging.getLogger(__name__)
_mode = MODE_RAISE
_counts: collections.Counter[str] = collections.Counter()


def set_mode(mode: str) -> None:
    """Selects what `report` does.

    Args:
        mode: `raise` for tests and the demo, `count` for production.

    Raises:
        exceptions.SettingsError: The mode is neither.
    """
    global _mode
    if mode not in (MODE_RAISE, MODE_COUNT):
        raise exceptions.SettingsError(
            f"invariants: expected raise or count, got {mode!r}"
        )
    _mode = mode


def report(violation: exceptions.InvariantViolationError) -> None:
    """Raises the violation, or counts and logs it.

    Raises:
        exceptions.InvariantViolationError: The mode is `raise`.
    """
    if _mode == MODE_RAISE:
        raise violation
    _counts[violation.code] += 1
    _log.error("invariant_violated code=%s %s", violation.code, violation)


def counts() -> dict[str, int]:
    """Returns the number of counted violations by code."""
    return dict(_counts)
