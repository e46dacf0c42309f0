"""A target that fails at random and reports its calls to a ledger."""

import collections.abc
import random

import anyio

from galenatack import exceptions
from galenatack.model import call_request
from galenatack.model import target_answer
from tests.whole import ledger as ledger_module

SERVER_ERROR = 500
OK = 200
_WAITS_S = (0.0, 0.0, 0.0, 0.01, 0.05)
_RUNS_S = (0.005, 0.01, 0.02)


class LedgerTarget:
    """Implements `interfaces.closable_target.ClosableTarget`.

    A call queues, then starts. A started call continues if its node crashes.

    Args:
        incarnation_id: Node id and start time, as `node_id/wall_ms`.
        version: Version of the target.
        rng: Random source.
        ledger: Receives calls and starts.
        fault_share: Returns the fraction of calls that fail.
        withdrawn_s: Returns when the target's version was withdrawn, in
            seconds, or None.
    """

    def __init__(
        self,
        incarnation_id: str,
        *,
        version: str,
        rng: random.Random,
        ledger: ledger_module.Ledger,
        fault_share: collections.abc.Callable[[], float],
        withdrawn_s: collections.abc.Callable[[], float | None],
    ):
        self._incarnation_id = incarnation_id
        self._version = version
        self._rng = rng
        self._ledger = ledger
        self._fault_share = fault_share
        self._withdrawn_s = withdrawn_s
        self._waiting: set[str] = set()

    async def call(
        self, request: call_request.CallRequest
    ) -> target_answer.TargetAnswer:
        """Queues, runs and answers, or fails."""
        self._ledger.note_call(
            self._incarnation_id,
            request.call_id,
            self._version,
            self._withdrawn_s(),
        )
        draw = self._rng.random()
        if draw < 0.002:
            raise exceptions.TargetConnectError("refused")
        if draw < 0.01:
            raise exceptions.TargetShedError("full")
        self._waiting.add(request.call_id)
        with anyio.CancelScope(shield=True):
            await anyio.sleep(self._rng.choice(_WAITS_S))
        if request.call_id not in self._waiting:
            raise exceptions.TargetShedError("cancelled")
        self._waiting.discard(request.call_id)
        if request.posting:
            self._ledger.note_start(request.idempotency_key, request.call_id)
        await anyio.sleep(self._rng.choice(_RUNS_S))
        if draw < 0.012:
            raise exceptions.TargetAnswerLostError("connection broke")
        is_fault = self._rng.random() < self._fault_share()
        body = request.path.encode() + b" " + request.body
        return target_answer.TargetAnswer(
            SERVER_ERROR if is_fault else OK, (), body
        )

    async def cancel(self, call_id: str) -> bool:
        """Drops a queued call."""
        is_dropped = call_id in self._waiting
        self._waiting.discard(call_id)
        await anyio.sleep(self._rng.choice(_WAITS_S))
        return is_dropped

    async def close(self) -> None:
        """Does nothing, as there are no connections."""
