"""Times that follow from the time limit for revoking keys."""

import typing

_MS_PER_S = 1000

USABLE_SHARE = 0.8
"""Fraction of the time limit after which keys of unknown validity are refused.

Any share below 1 keeps the limit: a key that is accepted at a time t was valid
in the store at t - share x limit or later. A node that has had no way to the
store for 0.6 of the limit owes its callers nothing, so that refusals before
are a loss, and the rest is a margin for what the clocks do not show, such as a
machine that was suspended as a whole."""

WATCH_SHARE = 0.18
PAUSE_SHARE = 0.1
ASK_SHARE = 0.12
"""Parts of the usable time: an open watch, the pause after a change, and the
interval at which nodes ask each other.

The confirmed time is that of the request of a watch. It is two watches old when
the next one is answered, plus a pause, plus two round trips to the store (0.3 s
between regions), plus an interval and a round trip on each of the two hops to a
node: 1.44 + 0.4 + 0.3 + 2 x 0.58 = 3.3 s of the 4 s of a limit of 5 s."""


class FreshnessTerms(typing.NamedTuple):
    """Times that follow from the time limit for revoking keys.

    Attributes:
        max_age_s: Age of the keys above which they are refused.
        watch_s: Longest time that the store keeps a watch open.
        pause_s: Time between a change and the next watch.
        ask_s: Interval at which a node asks others.
    """

    max_age_s: float
    watch_s: float
    pause_s: float
    ask_s: float


def of(revoke_ms: int) -> FreshnessTerms:
    """Returns the times for a limit in milliseconds."""
    usable_s = revoke_ms / _MS_PER_S * USABLE_SHARE
    return FreshnessTerms(
        max_age_s=usable_s,
        watch_s=usable_s * WATCH_SHARE,
        pause_s=usable_s * PAUSE_SHARE,
        ask_s=usable_s * ASK_SHARE,
    )
