"""Runs the calls of the stand-in target in its slots."""

import math
import random
import typing

import anyio

from standins.target import faults as faults_module
from standins.target import ledger as ledger_module
from standins.target import options as options_module

_MS_PER_S = 1000
_PERMILLE = 1000


class Work(typing.NamedTuple):
    """One call.

    Attributes:
        call_id: Id for cancelling the call; may be empty.
        key: Idempotency key; may be empty.
        path: Path of the request.
        deadline_s: Remaining time; infinite without a deadline.
    """

    call_id: str
    key: str
    path: str
    deadline_s: float


class Worker:
    """Runs calls in slots, with service times from a seeded generator.

    Attributes:
        faults: Active faults.
        ledger: Record of the calls that ran.
        is_draining: Whether the target announced that it is leaving.
    """

    def __init__(self, options: options_module.TargetOptions):
        self._options = options
        self._rng = random.Random(options.seed)
        self._slots = anyio.Semaphore(options.slots)
        self._queued: dict[str, anyio.CancelScope] = {}
        self._fault_since_s = 0.0
        self._drain_since_s = 0.0
        self.in_flight = 0
        self.faults = faults_module.Faults()
        self.ledger = ledger_module.Ledger()
        self.is_draining = False

    def switch(self, faults: faults_module.Faults) -> None:
        """Sets the faults; their `after_s` counts from now."""
        self.faults = faults
        self._fault_since_s = anyio.current_time()

    def drain(self) -> None:
        """Announces that the target is leaving."""
        if not self.is_draining:
            self.is_draining = True
            self._drain_since_s = anyio.current_time()

    def cancel(self, call_id: str) -> bool:
        """Drops a call that waits for a slot; returns whether it did."""
        scope = self._queued.pop(call_id, None)
        if scope is None:
            return False
        scope.cancel()
        self.ledger.cancelled += 1
        return True

    async def run(self, work: Work) -> int:
        """Runs a call and returns its HTTP status."""
        if self.in_flight >= self._options.connections:
            self.ledger.shed += 1
            return 503
        self.in_flight += 1
        try:
            return await self._run_in_slot(work)
        finally:
            self.in_flight -= 1

    async def _run_in_slot(self, work: Work) -> int:
        if not await self._acquire_slot(work):
            self.ledger.shed += 1
            return 503
        try:
            self._count_start(work)
            return await self._serve(work)
        finally:
            self._slots.release()

    async def _acquire_slot(self, work: Work) -> bool:
        try:
            self._slots.acquire_nowait()
        except anyio.WouldBlock:
            pass
        else:
            return True
        is_acquired = False
        with anyio.move_on_after(work.deadline_s) as scope:
            self._queued[work.call_id] = scope
            await self._slots.acquire()
            is_acquired = True
        is_cancelled = self._queued.get(work.call_id) is not scope
        if not is_cancelled:
            del self._queued[work.call_id]
        if is_acquired and is_cancelled:
            # A cancel was confirmed after the slot was granted but before
            # this task resumed: the call must not start.
            self._slots.release()
            return False
        return is_acquired

    def _count_start(self, work: Work) -> None:
        self.ledger.start(work.key)
        if self.is_draining:
            since_s = anyio.current_time() - self._drain_since_s
            since_ms = math.ceil(since_s * _MS_PER_S)
            self.ledger.late_ms = max(self.ledger.late_ms, since_ms)

    async def _serve(self, work: Work) -> int:
        options = self._options
        duration_ms = options.service_ms * math.exp(
            self._rng.gauss(0, options.spread)
        )
        if self.ledger.started <= options.cold_calls:
            duration_ms *= options.cold_factor
        is_faulty = self.faults.applies(
            path=work.path,
            since_s=anyio.current_time() - self._fault_since_s,
            in_flight=self.in_flight,
        )
        if is_faulty:
            duration_ms += self.faults.slow_ms
        if duration_ms > 0:
            await anyio.sleep(duration_ms / _MS_PER_S)
        fails = self._rng.randrange(_PERMILLE) < self.faults.error_permille
        return 500 if is_faulty and fails else 200
