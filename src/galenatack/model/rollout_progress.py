"""The agreed state of a rollout."""

import typing


class RolloutProgress(typing.NamedTuple):
    """The agreed state of a rollout, as stored in the shared table.

    Attributes:
        service: Service that is moved.
        version: Version to which the traffic is moved.
        order_revision: Revision of the order of this rollout.
        phase: A `rollout_phase.RolloutPhase`.
        reason: Reason for entering the phase, with figures.
        written_by: Node that wrote the row.
        revision: Revision of the row; 0 before it is written.
    """

    service: str
    version: str
    order_revision: int
    phase: str
    reason: str
    written_by: str
    revision: int = 0
