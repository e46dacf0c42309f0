"""How calls are put to targets and their answers are read."""

import typing

from galenatack.model import call_request
from galenatack.model import target_answer

Headers = tuple[tuple[bytes, bytes], ...]


class TargetDialect(typing.Protocol):
    """Translates calls and answers of a kind of target."""

    def headers(self, request: call_request.CallRequest) -> Headers:
        """Returns the headers of a call, without its length."""

    def is_answer(
        self, request: call_request.CallRequest, headers: Headers
    ) -> bool:
        """Tells whether an answer belongs to a call."""

    def answer(
        self, status: int, headers: Headers, body: bytes
    ) -> target_answer.TargetAnswer:
        """Returns the answer for the caller.

        Raises:
            exceptions.TargetShedError: The target says that the call did
                not run.
            exceptions.TargetAnswerLostError: It is not a whole answer of
                the target.
        """
