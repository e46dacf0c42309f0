"""A call for the receiver's target; answered by `CallAnswer`."""

import typing

from galenatack.model import call_request


class Call(typing.NamedTuple):
    """A call for the receiver's target; answered by `CallAnswer`.

    Attributes:
        request: The call.
        target_incarnation: Incarnation of the receiver that the sender
            expects; 0 for any.
    """

    request: call_request.CallRequest
    target_incarnation: int
