"""Status of a posting, as known to the owner of its claim."""

import typing

from galenatack.model import call_result


class PostingStatus(typing.NamedTuple):
    """Status of a posting, as known to the owner of its claim.

    Attributes:
        state: `not-dispatched`, `dispatched`, `answered` or `unknown`.
        result: The recorded answer, if there is one.
    """

    state: str
    result: call_result.CallResult | None
