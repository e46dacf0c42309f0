"""First message on a link, both ways."""

import typing

from galenatack.model import member_record


class Hello(typing.NamedTuple):
    """First message on a link, both ways.

    Attributes:
        protocol: Protocol version of the sender.
        oldest_protocol: Oldest version that the sender speaks.
        deployment: Name of the deployment; must match.
        purpose: `overlay`, `carrier`, `calls` or `direct`.
        record: The sender's member record.
    """

    protocol: int
    oldest_protocol: int
    deployment: str
    purpose: str
    record: member_record.MemberRecord
