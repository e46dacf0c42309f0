"""Messages with their correlation identifiers."""

import typing


class Envelope(typing.NamedTuple):
    """A message with the identifiers that match replies to requests.

    Attributes:
        message: One of the types of `galenatack.messages`.
        request_id: Identifier of a request; 0 when no reply is expected.
        reply_id: Identifier of the request that this answers; 0 for none.
    """

    message: typing.Any
    request_id: int = 0
    reply_id: int = 0
