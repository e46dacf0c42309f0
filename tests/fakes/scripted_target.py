"""A target with scripted latencies and errors."""

import typing

import anyio

from galenatack.model import call_request
from galenatack.model import target_answer


class ScriptedTarget:
    """Implements `interfaces.target_link.TargetLink`.

    Attributes:
        latency_s: Duration of each call.
        errors: Errors of the next calls, first one first; None answers.
        started: Requests that started, in order; a posting listed twice
            ran twice.
        cancellable: What `cancel` returns.
    """

    def __init__(self, *, latency_s: float = 0.01):
        self.latency_s = latency_s
        self.errors: list[Exception | None] = []
        self.started: list[call_request.CallRequest] = []
        self.cancellable = False

    async def call(
        self, request: call_request.CallRequest
    ) -> target_answer.TargetAnswer:
        """Echoes the request's path and body, or raises the next error."""
        self.started.append(request)
        await anyio.sleep(self.latency_s)
        error = self.errors.pop(0) if self.errors else None
        if error is not None:
            raise error
        return self._answer(request)

    async def cancel(self, call_id: str) -> bool:
        """Returns `cancellable`."""
        del call_id
        return self.cancellable

    def _answer(self, request: typing.Any) -> target_answer.TargetAnswer:
        body = request.path.encode() + b" " + request.body
        return target_answer.TargetAnswer(200, (), body)
