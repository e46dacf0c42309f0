"""An operator's order to move a service to a version."""

import typing


class RolloutOrder(typing.NamedTuple):
    """An operator's order to move a service to a version.

    Attributes:
        service: Service to move.
        version: Version to which the traffic is moved.
        duration_ms: Time from the order until the rollout should be done.
        revision: Revision of the row that holds the order.
    """

    service: str
    version: str
    duration_ms: int
    revision: int
