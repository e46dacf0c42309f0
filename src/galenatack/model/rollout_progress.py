"""The agreed state of a rollout."""

import typing


class RolloutProgress(typing.NamedTuple):
    """The agreed state of a rollout, as it lies in the shared table.

    Attributes:
        service: Service that is moved.
        version: Version that is to take the traffic.
        order_revision: Revision of the order that it belongs to.
        phase: A `rollout_phase.RolloutPhase`.
        reason: Why the phase was entered, with figures.
        written_by: Node that wrote it.
        revision: Revision of the row; 0 before it is written.
    """

    service: str
    version: str
    order_revision: int
    phase: str
    reason: str
    written_by: str
    revision: int = 0
