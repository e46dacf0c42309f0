"""What placement thinks of one target for a request."""

import typing

from galenatack.model import member_record
from galenatack.model import proximity
from galenatack.placement import verdict as verdict_module


class Assessment(typing.NamedTuple):
    """What placement thinks of one target for a request.

    Attributes:
        member: The target's record.
        distance: Its proximity.
        verdict: Why it is chosen or passed over.
        calls: Calls that are expected there.
        answer_ms: Expected time at the gate and its target.
        cost: Expected cost, where 1 is the value of the call.
        is_estimated: Whether the answer time is from estimates, not counts.
        wait_ms: Part of the answer time that is waiting, by counting.
        slowdown: Slowdown that the target reported, faded by its age.
        slowness: Its permanent slowness.
        backlog_ms: Work that its calls still need.
        failure_permille: Share of its calls that fail.
    """

    member: member_record.MemberRecord
    distance: proximity.Proximity
    verdict: verdict_module.Verdict
    calls: float
    answer_ms: float
    cost: float
    is_estimated: bool
    wait_ms: float
    slowdown: float
    slowness: float
    backlog_ms: float
    failure_permille: int
