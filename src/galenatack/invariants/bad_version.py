"""Limits calls to an uncleared version; stops them soon after a fault."""

from galenatack import exceptions
from galenatack.invariants import violations
from galenatack.model import move_phase
from galenatack.model import move_state

WITHDRAWAL_BOUND_S = 3.0
PERMILLE = 1000


class BadVersionViolationError(exceptions.InvariantViolationError):
    """An uncleared or withdrawn version got too many calls."""

    code = "invariant-bad-version"


def check_share(
    move: move_state.MoveState,
    *,
    calls: int,
    new_calls: int,
    cap_permille: int,
) -> None:
    """Checks the cumulative cap until the first step is cleared.

    Args:
        move: The move in force on the node that routes the call.
        calls: Calls of the service that this node has routed in the move.
        new_calls: Calls among them that went to the new version.
        cap_permille: Maximum share of the new version.
    """
    if move.phase != move_phase.MovePhase.RUNNING or move.step > 0:
        return
    if new_calls * PERMILLE <= calls * cap_permille:
        return
    violations.report(
        BadVersionViolationError(
            "a version that is not cleared exceeds its share",
            service=move.service,
            version=move.to_version,
            move_id=move.move_id,
            calls=calls,
            new_calls=new_calls,
            cap_permille=cap_permille,
        )
    )


def check_promise(
    move: move_state.MoveState, *, version: str, now_ms: int
) -> None:
    """Checks that only `done` allows new-version calls after the promised time.

    Args:
        move: The move in force on the node that routes the call.
        version: Version that was picked for the call.
        now_ms: Wall clock of the call.
    """
    if version != move.to_version or now_ms < move.by_ms:
        return
    if move.phase == move_phase.MovePhase.DONE:
        return
    violations.report(
        BadVersionViolationError(
            "a version without a verdict got a call after the promised time",
            service=move.service,
            version=version,
            move_id=move.move_id,
            after_ms=now_ms - move.by_ms,
        )
    )


def check_new_call(
    *,
    service: str,
    version: str,
    move_id: str,
    fault_known_s: float | None,
    now_s: float,
) -> None:
    """Checks that no call starts more than 3 s after a fault is known.

    Args:
        service: Service of the call.
        version: Target version that gets the call.
        move_id: The move in force.
        fault_known_s: Monotonic time when the fault became known or the
            version was withdrawn; None without a fault.
        now_s: Monotonic time of the call.
    """
    if fault_known_s is None or now_s - fault_known_s <= WITHDRAWAL_BOUND_S:
        return
    violations.report(
        BadVersionViolationError(
            "a faulty version got a new call",
            service=service,
            version=version,
            move_id=move_id,
            after_s=round(now_s - fault_known_s, 3),
        )
    )
