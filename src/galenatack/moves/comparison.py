"""Counts of one event on the new and the old version over one period."""

import typing


class Comparison(typing.NamedTuple):
    """Calls and events (errors or slow calls) of both versions.

    Attributes:
        new_calls: Calls on the new version in the window.
        new_events: Events among them.
        old_calls: Calls on the old version in the same window.
        old_events: Events among them.
        null_rate: Highest event rate considered normal, from the old version's
            history and its most recent windows; 1.0 when unknown.
    """

    new_calls: int
    new_events: int
    old_calls: int
    old_events: int
    null_rate: float
