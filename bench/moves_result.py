"""The result of one simulated move."""

import typing

from bench import moves_cases


class Result(typing.NamedTuple):
    """The result of one simulated move.

    Attributes:
        case: The case.
        phase: Verdict that stands in the row.
        verdict_s: When it was written, from the start.
        calls: Calls of the service until the promised time.
        fault_calls: Calls that met the fault.
        first_fault_s: When the first call met the fault; -1 if none did.
        shown_s: When an observer without delay would call it faulty.
        last_new_s: When the last call before the verdict went to the new
            version.
        withdrawn_s: When the first node withdrew it; -1 if none did.
        reason: Reason of the verdict.
        done_in_time: `done` stood in the row 10 s before the promise.
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
