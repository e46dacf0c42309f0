"""An operator's order to move a service to a version."""

import typing


class RolloutOrder(typing.NamedTuple):
    """An operator's order to move a service to a version.

    Attributes:
        service: Service to move.
        version: Version to which the traffic is moved.
        duration_ms: Time from the order until the rollout should be done.
        revision: Number of the revision of the row that holds the order. It
            identifies the order, also after the store was restored.
        row_revision: Whole revision of the row; 0 if it equals `revision`.
    """

    service: str
    version: str
    duration_ms: int
    revision: int
    row_revision: int = 0
