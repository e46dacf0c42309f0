"""Member records that changed, or a whole table."""

import typing

from galenatack.model import member_record


class Members(typing.NamedTuple):
    """Member records that changed, or a whole table.

    Attributes:
        records: The records to merge.
        accusations: Suspect or dead records about members of a data centre
            that were made outside of it. Only the subject looks at them, and
            refutes them; merging them would end every member of a data
            centre for a moment after a partition.
    """

    records: tuple[member_record.MemberRecord, ...]
    accusations: tuple[member_record.MemberRecord, ...] = ()
