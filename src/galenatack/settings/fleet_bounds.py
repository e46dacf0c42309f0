"""Bounds that a deployment sets for all nodes."""

import typing


class FleetBounds(typing.NamedTuple):
    """Bounds that a deployment sets for all nodes.

    Attributes:
        drain_ms: A draining target gets no call later than this after the
            acknowledgement of its announcement.
        grace_ms: Time between SIGTERM and SIGKILL.
        config_ms: A configuration is in force within this time.
        repeat_window_ms: Window in which repeats are counted.
        repeat_slack: Repeats of a service beyond the ratio in a window.
        trial_share: Largest share of calls that a faulty version may get.
    """

    drain_ms: int = 2500
    grace_ms: int = 6000
    config_ms: int = 2500
    repeat_window_ms: int = 10_000
    repeat_slack: int = 50
    trial_share: float = 0.1
