"""Invariant 9: a planned stop drops no in-flight request."""

from galenatack import exceptions
from galenatack.invariants import violations


class CutCallError(exceptions.InvariantViolationError):
    """A planned stop would cut calls in flight."""

    code = "invariant-graceful-stop"


def check(*, node_id: str, call_ids: tuple[str, ...], drain_s: float) -> bool:
    """Returns True if no call is in flight at the end of a drain.

    Args:
        node_id: The stopping node.
        call_ids: Calls in flight or queued.
        drain_s: Time allowed for the drain, in seconds.

    Raises:
        CutCallError: Calls would be cut and the mode is `raise`.
    """
    if not call_ids:
        return True
    violations.report(
        CutCallError(
            "planned stop cuts calls",
            node_id=node_id,
            call_ids=call_ids,
            drain_s=drain_s,
        )
    )
    return False
