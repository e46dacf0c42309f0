"""Invariant 7: a posting runs at most once."""

from galenatack import exceptions
from galenatack.invariants import violations


class AtMostOnceViolationError(exceptions.InvariantViolationError):
    """A posting was about to be dispatched without the right to run."""

    code = "invariant-at-most-once"


def check(
    *, attempt: str, dispatches: int, is_closed: bool, is_claimed: bool
) -> bool:
    """Checks an attempt that is about to be dispatched.

    Args:
        attempt: Identifier of the attempt.
        dispatches: How often the attempt was dispatched before.
        is_closed: True when it was given up or its owner has told a peer
            that it was not dispatched.
        is_claimed: True when its ticket is valid here or its claim row is
            known to be in the table.

    Returns:
        True when the dispatch may go ahead.

    Raises:
        AtMostOnceViolationError: It may not, and the mode is `raise`.
    """
    if dispatches == 0 and is_claimed and not is_closed:
        return True
    violations.report(
        AtMostOnceViolationError(
            "posting dispatched without the right to run",
            attempt=attempt,
            dispatches=dispatches,
            is_closed=is_closed,
            is_claimed=is_claimed,
        )
    )
    return False
