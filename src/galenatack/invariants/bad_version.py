"""A bad version gets few calls, and none soon after its fault shows."""

from galenatack import exceptions
from galenatack.invariants import violations
from galenatack.model import move_phase
from galenatack.model import move_state

WITHDRAWAL_BOUND_S = 3.0
PERMILLE = 1000


class BadVersionViolationError(exceptions.InvariantViolationError):
    """A version that is not cleared or is withdrawn got too many calls."""

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
        move: The move in force where the call is routed.
        calls: Calls of the service that this node has routed in the move.
        new_calls: Those among them that went to the new version.
        cap_permille: Largest share of the new version.
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
    """Checks that after the promised time only `done` keeps the new version.

    Args:
        move: The move in force where the call is routed.
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
    shown_s: float | None,
    now_s: float,
) -> None:
    """Checks that no new call starts long after a fault shows.

    Args:
        service: Service of the call.
        version: Target version that gets the call.
        move_id: The move in force.
        shown_s: Monotonic time when the fault showed or the version was
            withdrawn; None when it has no fault.
        now_s: Monotonic time of the call.
    """
    if shown_s is None or now_s - shown_s <= WITHDRAWAL_BOUND_S:
        return
    violations.report(
        BadVersionViolationError(
            "a faulty version got a new call",
            service=service,
            version=version,
            move_id=move_id,
            after_s=round(now_s - shown_s, 3),
        )
    )
