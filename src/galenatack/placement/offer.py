"""A gate that a call is offered to."""

import typing

from galenatack.model import member_record


class Offer(typing.NamedTuple):
    """A gate that a call is offered to.

    Attributes:
        member: Node of the gate.
        max_wait_ms: Wait beyond which the gate is to decline the call, since
            another gate would then be the better choice; None if the call may
            wait as long as its objective allows.
    """

    member: member_record.MemberRecord
    max_wait_ms: int | None = None
