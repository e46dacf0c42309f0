"""Moments of a graceful shutdown."""

import typing

FULL_GRACE_S = 6.0
"""With a shorter grace time, all moments come earlier in proportion."""

LEAVE_NOTICE_S = 1.0
"""Time for the announcement of a stop to reach the other nodes. Their calls to
the own target are accepted until then."""

CALLER_DRAIN_DELAY_S = 2.6
"""Delay until caller connections are drained. Callers are sent elsewhere after
two failed readiness checks, one per second."""

LAST_CONNECT_DELAY_S = 3.2
"""Delay until idle connections are closed and no more are accepted."""

CALLS_SHARE = 0.85
"""Fraction of the grace time in which calls may finish. They are guaranteed
five sixths; the closing handshakes of links take another half second."""


class ShutdownSchedule(typing.NamedTuple):
    """Moments in seconds after the signal.

    Attributes:
        gate_closes_s: The own target takes no more calls.
        callers_drain_s: Connections are closed after their next answer. Only
            requests that are certain to end before `calls_end_s` are taken.
        callers_finish_s: Idle connections are closed. Only requests of which
            a part has arrived are still read.
        calls_end_s: Calls that still run are cut.
    """

    gate_closes_s: float
    callers_drain_s: float
    callers_finish_s: float
    calls_end_s: float


def make(grace_s: float) -> ShutdownSchedule:
    """Returns the schedule for a grace time."""
    share = min(1.0, grace_s / FULL_GRACE_S)
    return ShutdownSchedule(
        gate_closes_s=LEAVE_NOTICE_S * share,
        callers_drain_s=CALLER_DRAIN_DELAY_S * share,
        callers_finish_s=LAST_CONNECT_DELAY_S * share,
        calls_end_s=CALLS_SHARE * grace_s,
    )
