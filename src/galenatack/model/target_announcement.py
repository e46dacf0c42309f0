"""An announcement that a target sends to its node."""

import typing


class TargetAnnouncement(typing.NamedTuple):
    """An announcement that a target sends to its node.

    Attributes:
        target_id: Identifier of the target.
        service: Service that the target runs.
        version: Version of the target's software.
        slots: Number of calls that the target runs concurrently.
        state: A `target_state.TargetState`.
        warm_up_left_ms: Remaining time of the warm-up after its start.
        born_ms: Start time of the target, wall clock in milliseconds; 0 if it
            is not given.
        sequence: Sequence number; increases with each announcement until the
            target restarts.
    """

    target_id: str
    service: str
    version: str
    slots: int
    state: str
    warm_up_left_ms: int
    born_ms: int
    sequence: int
