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
        dispatches: Number of earlier dispatches of the attempt.
        is_closed: True when it was abandoned, or reported to a peer as not
            dispatched.
        is_claimed: True when its ticket is valid here or its claim row is
            known to be in the table.

    Returns:
        True if the attempt may be dispatched.

    Raises:
        AtMostOnceViolationError: The attempt must not be dispatched and the
            mode is `raise`.
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
