"""Invariant 8: a leaving target gets no new work after 3 s."""

from galenatack import exceptions
from galenatack.invariants import violations

LEAVE_BOUND_S = 3.0


class WorkAfterLeavingError(exceptions.InvariantViolationError):
    """A target got new work too long after it announced leaving."""

    code = "invariant-leaving"


def check(
    *, node_id: str, call_id: str, announced_s: float, now_s: float
) -> bool:
    """Returns True if a dispatch to a leaving target is within the bound.

    Args:
        node_id: Node of the target.
        call_id: The call that is about to be dispatched.
        announced_s: Monotonic time of the announcement.
        now_s: Monotonic time of the dispatch.

    Raises:
        WorkAfterLeavingError: The dispatch is too late and the mode is
            `raise`.
    """
    since_s = now_s - announced_s
    if since_s <= LEAVE_BOUND_S:
        return True
    violations.report(
        WorkAfterLeavingError(
            "new work for a leaving target",
            node_id=node_id,
            call_id=call_id,
            since_s=round(since_s, 3),
        )
    )
    return False
