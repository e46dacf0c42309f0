"""The caller went away; the call may be dropped."""

import typing


class CancelCall(typing.NamedTuple):
    """The caller went away; the call may be dropped.

    Attributes:
        call_id: The call.
    """

    call_id: str
