"""A target that fails at random and counts what actually ran."""

import collections
import random

import anyio

from galenatack import exceptions
from galenatack.model import call_request
from galenatack.model import target_answer

_WAITS_S = (0.0, 0.0, 0.02, 0.3)
_RUNS_S = (0.005, 0.02, 0.02, 0.6)


class TruthfulTarget:
    """Implements `interfaces.target_link.TargetLink`.

    A call queues and then runs, for random durations. It may be refused
    before it starts, and its answer may be lost afterwards. A call that has
    started runs to completion even if its caller is gone.

    Attributes:
        ran: Number of starts by idempotency key.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._waiting: set[str] = set()
        self.ran: collections.Counter[str] = collections.Counter()

    async def call(
        self, request: call_request.CallRequest
    ) -> target_answer.TargetAnswer:
        """Queues, runs and answers, or fails."""
        draw = self._rng.random()
        if draw < 0.1:
            raise exceptions.TargetConnectError("refused")
        if draw < 0.2:
            raise exceptions.TargetShedError("full")
        self._waiting.add(request.call_id)
        await self._queue()
        if request.call_id not in self._waiting:
            raise exceptions.TargetShedError("cancelled")
        self._waiting.discard(request.call_id)
        self.ran[request.idempotency_key] += 1
        await anyio.sleep(self._rng.choice(_RUNS_S))
        if draw < 0.3:
            raise exceptions.TargetAnswerLostError("connection broke")
        body = request.path.encode() + b" " + request.body
        return target_answer.TargetAnswer(200, (), body)

    async def cancel(self, call_id: str) -> bool:
        """Drops a queued call; a slow confirmation may come too late."""
        is_dropped = call_id in self._waiting
        self._waiting.discard(call_id)
        await anyio.sleep(self._rng.choice(_WAITS_S))
        return is_dropped

    async def _queue(self) -> None:
        """Queues; a call whose caller gave up still starts at the target."""
        with anyio.CancelScope(shield=True):
            await anyio.sleep(self._rng.choice(_WAITS_S))
