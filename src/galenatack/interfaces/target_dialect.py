"""Interface of the HTTP conventions of a kind of target."""

import typing

from galenatack.model import call_request
from galenatack.model import target_answer
from galenatack.model import target_condition

Headers = tuple[tuple[bytes, bytes], ...]


class TargetDialect(typing.Protocol):
    """Translates calls to requests, and responses to answers."""

    def headers(self, request: call_request.CallRequest) -> Headers:
        """Returns the headers of a call, except for the content length."""

    def is_answer(
        self, request: call_request.CallRequest, headers: Headers
    ) -> bool:
        """Returns whether a response with these headers answers a call."""

    def is_probe_answer(self, headers: Headers) -> bool:
        """Returns whether a response with these headers answers a probe."""

    def condition(
        self, status: int, headers: Headers
    ) -> target_condition.TargetCondition | None:
        """Returns what the target says of itself in a response.

        None if the response comes from another target than the called one.
        """

    def cold_ms(
        self, target_id: str, status: int, headers: Headers
    ) -> int | None:
        """Returns how long a target stays cold, as it says in a response.

        None if it does not say so, or if another target answered.
        """

    def answer(
        self,
        request: call_request.CallRequest,
        status: int,
        headers: Headers,
        body: bytes,
    ) -> target_answer.TargetAnswer:
        """Returns the answer for the caller.

        Raises:
            exceptions.TargetShedError: According to the target, the call was
                not run.
            exceptions.TargetAnswerLostError: The response is not a complete
                answer of the target.
        """
