"""The connection to the node's own target."""

import typing

from galenatack.model import call_request
from galenatack.model import target_answer


class TargetLink(typing.Protocol):
    """Calls to one target."""

    async def call(
        self, request: call_request.CallRequest
    ) -> target_answer.TargetAnswer:
        """Sends a call with its deadline and returns the whole answer.

        Raises:
            exceptions.TargetConnectError: The call did not start.
            exceptions.TargetShedError: The target refused before the start.
            exceptions.TargetAnswerLostError: It may have run.
            exceptions.DeadlineExceededError: It may have run.
        """

    async def cancel(self, call_id: str) -> bool:
        """Asks the target to drop a call.

        Returns:
            True when the target confirmed that the call had not started and
            never will; False when it started, or when that is not known.
        """
