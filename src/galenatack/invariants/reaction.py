"""What happens when a check finds a violation."""

import collections
import logging

from galenatack import exceptions

RAISE = "raise"
COUNT = "count"

_log = logging.getLogger(__name__)
_mode = RAISE
counts: collections.Counter[str] = collections.Counter()


def set_mode(mode: str) -> None:
    """Selects the reaction.

    Args:
        mode: `raise` or `count`.

    Raises:
        exceptions.SettingsError: The mode is unknown.
    """
    global _mode
    if mode not in (RAISE, COUNT):
        raise exceptions.SettingsError(f"invariants: unknown mode {mode!r}")
    _mode = mode


def report(violation: exceptions.InvariantViolationError) -> None:
    """Raises the violation, or counts and logs it.

    Raises:
        exceptions.InvariantViolationError: The mode is `raise`.
    """
    counts[violation.code] += 1
    if _mode == RAISE:
        raise violation
    _log.error("kind=invariant-violated code=%s %s", violation.code, violation)
