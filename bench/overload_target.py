"""Simulated targets of the overload benchmark, behind the queues of gates."""

import asyncio
import collections.abc
import math
import random

from bench import call_class
from bench import call_trait
from bench import overload_features
from bench import uneven_work
from galenatack import exceptions
from galenatack.admission import admission_queue
from galenatack.admission import service_times
from galenatack.estimates import gate_work
from galenatack.messages import call_answer
from galenatack.model import call_request
from galenatack.model import call_result
from galenatack.model import gate_report
from galenatack.model import member_record
from galenatack.model import target_condition
from galenatack.routing import local_replies
from tests.fakes import virtual_loop

MS_PER_S = 1000.0
SIGMA = 0.45
"""Spread of the logarithms of service times."""


class Target:
    """A target that may limit its rate, behind the queue of its gate.

    Args:
        record: Its record.
        rng: Random source for its service times.
        limit_per_s: Calls that it takes per second; None for no limit.
        features: What its gate tells.
        machine: Its machine, whose load it reports; None for an even one.

    Attributes:
        call_part: Makes a call of a run over the node beside the target.
    """

    def __init__(
        self,
        record: member_record.MemberRecord,
        rng: random.Random,
        limit_per_s: float | None,
        features: overload_features.Features,
        machine: uneven_work.Machine | None = None,
    ):
        self.record = record
        self.call_part: (
            collections.abc.Callable[
                [call_class.CallClass, call_trait.CallTrait, float],
                collections.abc.Awaitable[call_result.CallResult],
            ]
            | None
        ) = None
        self._rng = rng
        self._features = features
        self._machine = machine
        self._condition = None
        self._times = service_times.ServiceTimes()
        self._work = gate_work.GateWork(clock=virtual_loop.LoopClock())
        self._queue = admission_queue.AdmissionQueue(
            clock=virtual_loop.LoopClock(), rng=rng, times=self._times
        )
        self._queue.slots = record.slots
        if limit_per_s is not None:
            self._condition = target_condition.TargetCondition(
                rate_limit_per_s=limit_per_s
            )
            self._queue.limit_rate(limit_per_s)

    async def handle(
        self, request: call_request.CallRequest, trait: call_trait.CallTrait
    ) -> call_answer.CallAnswer:
        """Runs a call, or refuses it."""
        now_s = asyncio.get_running_loop().time()
        deadline_s = now_s + request.deadline_ms / MS_PER_S
        if not self._features.tenants:
            request = request._replace(tenant="")
        if not self._features.waited:
            request = request._replace(waited_ms=0.0)
        ran_ms = 0.0
        try:
            await self._acquire(request, deadline_s)
        except exceptions.CallError as error:
            result = local_replies.not_run(error)
        else:
            result, ran_ms = await self._run(request, trait, deadline_s)
        finally:
            self._work.end(request.call_id)
        return call_answer.CallAnswer(
            request.call_id, result, self._report(request, deadline_s, ran_ms)
        )

    async def _acquire(
        self, request: call_request.CallRequest, deadline_s: float
    ) -> None:
        await self._queue.acquire(
            request.call_id,
            route=request.route,
            priority=request.priority,
            deadline_s=deadline_s,
            target_latency_ms=request.target_latency_ms,
            waited_ms=request.waited_ms,
            tenant=request.tenant,
            cost_ms=request.cost_ms,
            max_wait_ms=request.max_wait_ms,
            expected_ms=self._work.add(
                request, self._times.expected_ms(request.route)
            ),
        )

    async def _run(
        self,
        request: call_request.CallRequest,
        trait: call_trait.CallTrait,
        deadline_s: float,
    ) -> tuple[call_result.CallResult, float]:
        """Returns the result of a run, and its time in ms."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        self._work.start(request.call_id)
        await self._do_work(trait.work_ms)
        has_all = await self._has_part(trait, deadline_s)
        ran_ms = (loop.time() - began_s) * MS_PER_S
        self._queue.release(request.call_id)
        self._work.record(
            request,
            ran_ms=ran_ms,
            mean_ms=self._times.expected_ms(request.route),
        )
        self._times.record(request.route, ran_ms)
        status = 200 if has_all else 500
        return call_result.CallResult("answer", status, (), b""), ran_ms

    async def _do_work(self, mean_ms: float) -> None:
        median_ms = mean_ms * math.exp(-(SIGMA**2) / 2)
        work_ms = median_ms * math.exp(self._rng.gauss(0.0, SIGMA))
        if self._machine is None:
            await asyncio.sleep(work_ms / MS_PER_S)
            return
        await self._machine.run(work_ms)
        load = self._machine.load(self._queue.running, self._queue.slots)
        self._condition = target_condition.TargetCondition(load=load)
        self._work.apply_load(load)

    async def _has_part(
        self, trait: call_trait.CallTrait, deadline_s: float
    ) -> bool:
        """Returns whether a run got what it asked for itself."""
        if trait.parts is None:
            return True
        left_ms = (deadline_s - asyncio.get_running_loop().time()) * MS_PER_S
        part = call_trait.CallTrait(trait.body + b"/part", trait.parts.work_ms)
        result = await self.call_part(trait.parts, part, left_ms)
        return result.status == 200

    def _report(
        self,
        request: call_request.CallRequest,
        deadline_s: float,
        ran_ms: float,
    ) -> gate_report.GateReport:
        wait_ms = self._queue.expected_wait_ms(
            request.priority,
            deadline_s,
            route=request.route,
            tenant=request.tenant,
        )
        report = gate_report.GateReport(
            self._queue.running,
            self._queue.queued,
            int(ran_ms),
            0,
            int(wait_ms),
            condition=self._work.faded(self._condition),
            backlog_ms=self._work.backlog_ms(),
        )
        if self._features.waits:
            report = report._replace(waits_ms=self._queue.expected_waits_ms())
        return report
