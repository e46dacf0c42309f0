"""Withdrawal of a faulty target version."""

import typing

from galenatack.model import event_id


class Withdraw(typing.NamedTuple):
    """Withdraws a faulty target version, which gets no new calls.

    Attributes:
        move_id: Identifier of the move.
        service: Name of the service.
        version: Faulty target version.
        reason: Reason of the withdrawal, one sentence with figures.
        node_id: Node that detected the fault.
        cause: Event that caused the withdrawal.
    """

    move_id: str
    service: str
    version: str
    reason: str
    node_id: str
    cause: event_id.EventId | None
