"""What the owner knows of a posting."""

import typing

from galenatack.model import call_result


class PostingStatus(typing.NamedTuple):
    """What the owner knows of a posting.

    Attributes:
        state: `not-dispatched`, `dispatched`, `answered` or `unknown`.
        result: The recorded answer.
    """

    state: str
    result: call_result.CallResult | None
