"""The move states that came into force on a node."""

from galenatack.invariants import verdict_once
from galenatack.model import move_state


class StatesInForce:
    """Checks that a verdict in force on this node never changes."""

    def __init__(self):
        self._states: dict[str, move_state.MoveState] = {}

    def record(self, move: move_state.MoveState) -> None:
        """Records the state of a move that comes into force.

        Raises:
            verdict_once.VerdictOnceViolationError: The state differs from the
                verdict in force and the mode is `raise`.
        """
        verdict_once.check(self._states.get(move.service), move)
        self._states[move.service] = move
