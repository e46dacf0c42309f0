"""What a target says about itself."""

import typing


class TargetAnnouncement(typing.NamedTuple):
    """What a target says about itself.

    Attributes:
        target_id: Identifier of the target.
        service: Service that it runs.
        version: Version of its software.
        slots: Calls that it runs at once.
        state: A `target_state.TargetState`.
        warm_up_left_ms: How much longer it is slow after its start.
        born_ms: Wall-clock time of its start; 0 when it does not tell.
        sequence: Grows with each announcement of one life.
    """

    target_id: str
    service: str
    version: str
    slots: int
    state: str
    warm_up_left_ms: int
    born_ms: int
    sequence: int
