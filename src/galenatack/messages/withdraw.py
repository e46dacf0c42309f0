"""A target version is faulty and gets no new calls."""

import typing

from galenatack.model import event_id


class Withdraw(typing.NamedTuple):
    """A target version is faulty and gets no new calls.

    Attributes:
        move_id: The move.
        service: Service.
        version: Faulty target version.
        reason: One sentence with figures.
        node_id: Node that found the fault.
        cause: Event that led to it.
    """

    move_id: str
    service: str
    version: str
    reason: str
    node_id: str
    cause: event_id.EventId | None
