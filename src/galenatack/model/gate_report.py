"""Load of an inbound gate at one moment."""

import typing


class GateReport(typing.NamedTuple):
    """Load of an inbound gate at one moment.

    Attributes:
        running: Calls at the target.
        queued: Calls that wait for a slot.
        ran_ms: Time that the answered call spent at the target; 0 when it
            did not reach it.
        failure_permille: Recent share of calls that the target failed or
            refused.
        wait_ms: How long a call of the same route would wait for a slot now.
    """

    running: int
    queued: int
    ran_ms: int
    failure_permille: int
    wait_ms: int
