"""A posting guard that remembers keys in memory."""

import collections.abc

from galenatack import exceptions
from galenatack.model import call_request
from galenatack.model import call_result
from galenatack.model import outcome
from galenatack.routing import local_replies


class MemoryGuard:
    """Implements `routing.inbound_gate.PostingGuard`.

    Several gates may share one guard, which then replaces the
    claim rows.

    Attributes:
        recorded: Result by key; None while the dispatch runs.
    """

    def __init__(self):
        self.recorded: dict[str, call_result.CallResult | None] = {}

    async def run_once(
        self,
        request: call_request.CallRequest,
        dispatch: collections.abc.Callable[
            [], collections.abc.Awaitable[call_result.CallResult]
        ],
    ) -> call_result.CallResult:
        """Dispatches unless the key is recorded; `not-run` removes the key."""
        key = request.idempotency_key
        if key in self.recorded:
            return self.recorded[key] or local_replies.unknown(
                exceptions.TargetAnswerLostError("still running")
            )
        self.recorded[key] = None
        result = await dispatch()
        if result.outcome == outcome.Outcome.NOT_RUN:
            del self.recorded[key]
        else:
            self.recorded[key] = result
        return result
