"""Member records that changed, or a whole table."""

import typing

from galenatack.model import member_record


class Members(typing.NamedTuple):
    """Member records that changed, or a whole table.

    Attributes:
        records: The records.
    """

    records: tuple[member_record.MemberRecord, ...]
