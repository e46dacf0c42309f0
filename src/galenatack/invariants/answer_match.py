"""Invariant 5: an answer belongs to the call that it is returned for."""

from galenatack import exceptions
from galenatack.invariants import violations


class AnswerMismatchError(exceptions.InvariantViolationError):
    """A call got the answer of another call."""

    code = "invariant-answer-match"


def check(*, call_id: str, answer_call_id: str, node_id: str) -> bool:
    """Returns True when the answer belongs to the call.

    Raises:
        AnswerMismatchError: The answer belongs to another call and the mode is
            `raise`.
    """
    if call_id == answer_call_id:
        return True
    violations.report(
        AnswerMismatchError(
            "answer belongs to another call",
            call_id=call_id,
            answer_call_id=answer_call_id,
            node_id=node_id,
        )
    )
    return False
