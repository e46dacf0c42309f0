"""Invariant 6: `not-run` is reported only for a posting that did not run."""

from galenatack import exceptions
from galenatack.invariants import violations


class NotRunViolationError(exceptions.InvariantViolationError):
    """A dispatched posting was about to be reported as not run."""

    code = "invariant-not-run"


def check(*, attempt: str, dispatches: int, is_start_denied: bool) -> bool:
    """Checks an attempt that is about to be reported as not run.

    Args:
        attempt: Identifier of the attempt.
        dispatches: Number of dispatches of the attempt.
        is_start_denied: True when the dispatch ended with proof that the
            target did not start the posting: a refusal, or a cancel confirmed
            before the start.

    Returns:
        True if `not-run` may be reported.

    Raises:
        NotRunViolationError: `not-run` must not be reported and the mode is
            `raise`.
    """
    if dispatches == 0 or is_start_denied:
        return True
    violations.report(
        NotRunViolationError(
            "not-run reported for a dispatched posting",
            attempt=attempt,
            dispatches=dispatches,
        )
    )
    return False
