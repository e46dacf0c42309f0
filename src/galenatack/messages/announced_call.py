"""A call whose long body the receiver fetches; answered by `CallAnswer`."""

import typing

from galenatack.model import call_request


class AnnouncedCall(typing.NamedTuple):
    """A call whose long body the receiver fetches; answered by `CallAnswer`.

    Attributes:
        request: The call, without its body.
        body_bytes: Size of the body.
    """

    request: call_request.CallRequest
    body_bytes: int
