"""Invariant 10: a change is in force within 5 s and never reverts."""

from galenatack import exceptions
from galenatack.invariants import violations

# Promise of the product, from enough holders to running.
CONVERGENCE_BOUND_S = 5.0


class ConvergenceError(exceptions.InvariantViolationError):
    """A change that enough nodes hold is not in force in time."""

    code = "invariant-convergence"


def check(
    *, node_id: str, seq: int, running_seq: int, since_s: float, now_s: float
) -> None:
    """Checks that a seq that enough nodes hold runs in time.

    A rejected profile counts as run: the running seq passes it.

    Args:
        node_id: Node that holds the seq.
        seq: Seq that enough nodes hold.
        running_seq: Running seq of the node.
        since_s: When enough nodes held it, monotonic seconds.
        now_s: Present time, monotonic seconds.

    Raises:
        ConvergenceError: The bound has passed (mode `raise`).
    """
    if running_seq >= seq or now_s - since_s <= CONVERGENCE_BOUND_S:
        return
    violations.report(
        ConvergenceError(
            "change is not in force in time",
            node_id=node_id,
            seq=seq,
            running_seq=running_seq,
            waited_s=round(now_s - since_s, 3),
        )
    )
