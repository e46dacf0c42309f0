"""A verdict is written once and never changes."""

from galenatack import exceptions
from galenatack.invariants import violations
from galenatack.model import move_phase
from galenatack.model import move_state


class VerdictOnceViolationError(exceptions.InvariantViolationError):
    """The final state of a move would be replaced."""

    code = "invariant-verdict-once"


def check(
    before: move_state.MoveState | None, after: move_state.MoveState
) -> None:
    """Checks a new state of a move before it is written or comes into force.

    Args:
        before: The replaced state, if any.
        after: The new state.
    """
    if before is None or before.move_id != after.move_id:
        return
    if before.phase == move_phase.MovePhase.RUNNING:
        return
    if before == after:
        return
    violations.report(
        VerdictOnceViolationError(
            "a verdict would change",
            service=before.service,
            move_id=before.move_id,
            verdict=before.phase,
            new_phase=after.phase,
        )
    )
