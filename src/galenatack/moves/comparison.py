"""Counts of one event on the new and the old version over one period."""

import typing


class Comparison(typing.NamedTuple):
    """How often an event (an error, a slow call) happened.

    Attributes:
        new_calls: Calls on the new version in the window.
        new_events: Events among them.
        old_calls: Calls on the old version in the same window.
        old_events: Events among them.
        null_rate: Highest event rate that counts as normal, from the old
            version's history and its last seconds; 1.0 when unknown.
    """

    new_calls: int
    new_events: int
    old_calls: int
    old_events: int
    null_rate: float
