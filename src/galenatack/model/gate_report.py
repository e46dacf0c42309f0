"""Current load of an inbound gate."""

import typing

from galenatack.model import target_condition


class GateReport(typing.NamedTuple):
    """Load of an inbound gate when it answers a call.

    Attributes:
        running: Number of calls that the target runs.
        queued: Number of calls in the admission queue.
        ran_ms: Time that the answered call spent at the target; 0 if it did
            not reach the target.
        failure_permille: Recent share of calls that failed at the target or
            were refused by it.
        wait_ms: Time that a new call of the same route would wait for a slot.
        condition: What the target said of itself in its latest answer; None
            if it has not answered since the gate or the target started.
        admits_retries: False if retries are as large a share of what the
            target runs as they may be.
        waits_ms: Time that a new call would wait for a slot, by its priority
            from 0 on; the last one holds for all lower priorities. Empty if
            it is not reported.
        backlog_ms: Work that the calls at the gate and its target still need,
            as the time that it takes at the usual speed with one slot; 0 if it
            is not estimated.
        cold_rate_per_s: Calls per second that a cold target takes from all
            nodes together; None if it is warm.
    """

    running: int
    queued: int
    ran_ms: int
    failure_permille: int
    wait_ms: int
    condition: target_condition.TargetCondition | None = None
    admits_retries: bool = True
    waits_ms: tuple[int, ...] = ()
    backlog_ms: int = 0
    cold_rate_per_s: float | None = None
