"""Cancels a call whose caller has disconnected."""

import typing


class CancelCall(typing.NamedTuple):
    """Cancels a call whose caller has disconnected.

    Attributes:
        call_id: Identifier of the call.
    """

    call_id: str
