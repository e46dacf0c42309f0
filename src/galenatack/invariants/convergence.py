"""Invariant 10: a change is in force within 5 s and never reverts."""

from galenatack import exceptions
from galenatack.invariants import violations

# Maximum time, promised by the product, from when enough nodes hold a change
# until it is in force.
CONVERGENCE_BOUND_S = 5.0


class ConvergenceError(exceptions.InvariantViolationError):
    """A change held by enough nodes is not in force in time."""

    code = "invariant-convergence"


def check(
    *,
    node_id: str,
    seq: int,
    running_seq: int,
    held_since_s: float,
    now_s: float,
) -> None:
    """Checks that a seq held by enough nodes is in force in time.

    A rejected profile counts as running: the running seq passes it.

    Args:
        node_id: Node that holds the seq.
        seq: Seq held by enough nodes.
        running_seq: Running seq of the node.
        held_since_s: When enough nodes held the seq, monotonic seconds.
        now_s: Current time, monotonic seconds.

    Raises:
        ConvergenceError: The bound is exceeded and the mode is `raise`.
    """
    if running_seq >= seq or now_s - held_since_s <= CONVERGENCE_BOUND_S:
        return
    violations.report(
        ConvergenceError(
            "change is not in force in time",
            node_id=node_id,
            seq=seq,
            running_seq=running_seq,
            waited_s=round(now_s - held_since_s, 3),
        )
    )
