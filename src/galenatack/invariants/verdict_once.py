"""A verdict is written once and never changes."""

from galenatack import exceptions
from galenatack.invariants import violations
from galenatack.model import move_phase
from galenatack.model import move_state


class VerdictOnceViolationError(exceptions.InvariantViolationError):
    """The state of a move with a verdict would be replaced."""

    code = "invariant-verdict-once"


def check(
    before: move_state.MoveState | None, after: move_state.MoveState
) -> None:
    """Checks a change of the move row before it is written or run.

    Args:
        before: The state that the change replaces; None when there is none.
        after: The state to be written or run.
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
