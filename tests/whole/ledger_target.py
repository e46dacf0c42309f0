"""A target that fails at random and reports to a ledger."""

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

    A call waits, then starts. What has begun goes on when its node dies.

    Args:
        life: Node and incarnation.
        version: Version of the target.
        rng: Randomness.
        ledger: Gets calls and starts.
        fault_share: Returns the share of the calls that fail.
        withdrawn_s: Returns since when the own version is withdrawn.
    """

    def __init__(
        self,
        life: str,
        *,
        version: str,
        rng: random.Random,
        ledger: ledger_module.Ledger,
        fault_share: collections.abc.Callable[[], float],
        withdrawn_s: collections.abc.Callable[[], float | None],
    ):
        self._life = life
        self._version = version
        self._rng = rng
        self._ledger = ledger
        self._fault_share = fault_share
        self._withdrawn_s = withdrawn_s
        self._waiting: set[str] = set()

    async def call(
        self, request: call_request.CallRequest
    ) -> target_answer.TargetAnswer:
        """Waits, runs and answers, or fails."""
        self._ledger.note_call(
            self._life,
            request.call_id,
            self._version,
            self._withdrawn_s(),
        )
        fate = self._rng.random()
        if fate < 0.002:
            raise exceptions.TargetConnectError("refused")
        if fate < 0.01:
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
        if fate < 0.012:
            raise exceptions.TargetAnswerLostError("connection broke")
        is_fault = self._rng.random() < self._fault_share()
        body = request.path.encode() + b" " + request.body
        return target_answer.TargetAnswer(
            SERVER_ERROR if is_fault else OK, (), body
        )

    async def cancel(self, call_id: str) -> bool:
        """Drops a call that waits."""
        is_dropped = call_id in self._waiting
        self._waiting.discard(call_id)
        await anyio.sleep(self._rng.choice(_WAITS_S))
        return is_dropped

    async def close(self) -> None:
        """Holds no connections."""
