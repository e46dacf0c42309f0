"""The final answer to a call."""

import typing

from galenatack.model import call_result


class CallAnswer(typing.NamedTuple):
    """The final answer to a call.

    Attributes:
        call_id: The call.
        result: The answer.
    """

    call_id: str
    result: call_result.CallResult
