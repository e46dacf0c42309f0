"""Interface of the link to the node's target."""

import typing

from galenatack.model import call_request
from galenatack.model import target_answer


class TargetLink(typing.Protocol):
    """Sends calls to one target."""

    async def call(
        self, request: call_request.CallRequest
    ) -> target_answer.TargetAnswer:
        """Sends a call with its deadline and returns the whole answer.

        Raises:
            exceptions.TargetConnectError: The call did not start.
            exceptions.TargetShedError: The target refused to start the call.
            exceptions.TargetAnswerLostError: The call may have run.
            exceptions.DeadlineExceededError: The call may have run.
        """

    async def cancel(self, call_id: str) -> bool:
        """Requests that the target cancel a call.

        Returns:
            True if the target confirmed that the call has not started and
            never will; False if it has started, or if that is unknown.
        """
