"""First message on a link, in both directions."""

import typing

from galenatack.model import member_record


class Hello(typing.NamedTuple):
    """First message on a link, in both directions.

    Attributes:
        protocol: Protocol version of the sender.
        oldest_protocol: Oldest protocol version that the sender supports.
        deployment: Name of the deployment; must be equal on both sides.
        purpose: `overlay`, `carrier`, `calls` or `direct`.
        record: The sender's member record.
    """

    protocol: int
    oldest_protocol: int
    deployment: str
    purpose: str
    record: member_record.MemberRecord
