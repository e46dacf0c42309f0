"""What happens when an invariant does not hold."""

import collections
import logging

from galenatack import exceptions

RAISE = "raise"
COUNT = "count"

_log = logging.getLogger(__name__)
_mode = RAISE
_counts: collections.Counter[str] = collections.Counter()


def set_mode(mode: str) -> None:
    """Selects `raise` or `count`."""
    global _mode
    _mode = mode


def report(violation: exceptions.InvariantViolationError) -> None:
    """Raises the violation, or counts and logs it."""
    if _mode == RAISE:
        raise violation
    _counts[violation.code] += 1
    _log.error("event=invariant-violated code=%s %s", violation.code, violation)


def counts() -> dict[str, int]:
    """Returns how often each invariant was violated, by code."""
    return dict(_counts)
