"""The result of one simulated move."""

import typing

from bench import moves_cases


class Result(typing.NamedTuple):
    """The result of one simulated move.

    Attributes:
        case: The case.
        phase: Verdict in the row.
        verdict_s: Time of the verdict, from the start.
        calls: Number of calls of the service until the promised time.
        fault_calls: Number of calls affected by the fault.
        first_fault_s: Time of the first affected call; -1 without one.
        shown_s: Time at which an observer without delay detects the fault; -1
            if it does not.
        last_new_s: Time of the last call to the new version before the
            verdict.
        withdrawn_s: Time of the first withdrawal; -1 without one.
        reason: Reason of the verdict.
        done_in_time: Whether the verdict was `done`, 10 s before the promised
            time.
    """

    case: moves_cases.Case
    phase: str
    verdict_s: float
    calls: int
    fault_calls: int
    first_fault_s: float
    shown_s: float
    last_new_s: float
    withdrawn_s: float
    reason: str
    done_in_time: bool
