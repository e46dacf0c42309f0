"""Member records that changed, or a whole table."""

import typing

from galenatack.model import member_record


class Members(typing.NamedTuple):
    """Member records that changed, or a whole table.

    Attributes:
        records: The records to merge.
        accusations: Suspect or dead records of members of a data centre that
            nodes outside of it created. Only the member itself handles them,
            by a refutation. If other nodes merged them, all members of a data
            centre would briefly be dead after a partition.
    """

    records: tuple[member_record.MemberRecord, ...]
    accusations: tuple[member_record.MemberRecord, ...] = ()
