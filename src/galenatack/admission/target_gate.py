"""Admission of calls to the local target."""

import collections.abc
import logging

from galenatack import exceptions
from galenatack.admission import admission_queue
from galenatack.admission import failure_rate
from galenatack.admission import retried_runs
from galenatack.admission import service_times
from galenatack.admission import target_calls
from galenatack.admission import target_registry
from galenatack.bodies import announced_body
from galenatack.bodies import body_fetcher
from galenatack.estimates import gate_work
from galenatack.interfaces import clock as clock_interface
from galenatack.messages import call_answer
from galenatack.model import admission_terms
from galenatack.model import call_request
from galenatack.model import call_result
from galenatack.model import gate_report
from galenatack.model import outcome
from galenatack.model import target_condition
from galenatack.quarantine import quarantine as quarantine_module
from galenatack.quarantine import request_fingerprint
from galenatack.routing import dispatcher
from galenatack.routing import local_replies
from galenatack.telemetry import call_stats
from galenatack.telemetry import request_log
from galenatack.warmup import cold_admission

_LOGGER = logging.getLogger(__name__)

MS_PER_S = 1000
SERVER_ERROR = 500

_MAY_HAVE_RESTARTED = frozenset(
    {exceptions.TargetConnectError.code, exceptions.TargetCrashedError.code}
)

REFUSED_RETRY_AFTER_MS = 100
"""About one service time, after which other calls have run."""


class TargetGate:
    """Admits calls to the local target and records their outcomes.

    All calls to the target, from this and other nodes, pass through its gate.
    The number of calls in flight is therefore exact, and a leaving target gets
    no more calls even if the tables of other nodes are out of date.

    Args:
        registry: Latest announcement of the target.
        queue: Admission queue of the target.
        times: Service times, which the queue reads.
        calls: Sends admitted calls to the target.
        clock: Source of time.
        log: Log of single requests.
        stats: Counters and histograms.
        is_withdrawn: Returns whether a version of a service is withdrawn.
        on_outcome: Receives the outcome of each call as rollout evidence.
        quarantine: Decides on requests under which targets crash.
        runs: Share of retries among the runs of the target.
        bodies: Fetches announced bodies.
        cold: Limits the calls while the target is cold; None without a limit.
        is_evacuated: Returns whether the data centre is evacuated.
        work: What the calls here still need.
    """

    def __init__(
        self,
        *,
        registry: target_registry.TargetRegistry,
        queue: admission_queue.AdmissionQueue,
        times: service_times.ServiceTimes,
        calls: target_calls.TargetCalls,
        clock: clock_interface.Clock,
        log: request_log.RequestLog,
        stats: call_stats.CallStats,
        is_withdrawn: collections.abc.Callable[[str, str], bool],
        on_outcome: dispatcher.OnOutcome,
        quarantine: quarantine_module.Quarantine,
        runs: retried_runs.RetriedRuns,
        bodies: body_fetcher.BodyFetcher,
        work: gate_work.GateWork,
        cold: cold_admission.ColdAdmission | None = None,
        is_evacuated: collections.abc.Callable[[], bool] = lambda: False,
    ):
        self._registry = registry
        self._queue = queue
        self._times = times
        self._calls = calls
        self._clock = clock
        self._log = log
        self._stats = stats
        self._is_withdrawn = is_withdrawn
        self._on_outcome = on_outcome
        self._quarantine = quarantine
        self._runs = runs
        self._bodies = bodies
        self._cold = cold
        if cold is not None:
            # They were admitted for a warm target.
            cold.warmth.subscribe(lambda: queue.refuse_waiting(cold.refusal))
        self._is_evacuated = is_evacuated
        self._work = work
        self._failures = failure_rate.FailureRate()
        self._is_closed = False
        self._accepted_calls = 0
        self._max_connections = 0
        self._incarnation: tuple[str, int] | None = None
        self._condition: target_condition.TargetCondition | None = None

    @property
    def in_flight(self) -> int:
        """Accepted calls without a result yet."""
        return self._accepted_calls

    @property
    def queued(self) -> int:
        """Number of calls that wait for a slot."""
        return self._queue.queued

    @property
    def running(self) -> int:
        """Number of calls at the target."""
        return self._queue.running

    @property
    def failure_permille(self) -> int:
        """Share of recent calls that the target failed or refused."""
        return self._failures.permille

    @property
    def rate_limit_per_s(self) -> float | None:
        """Calls per second that the target takes; None without a limit."""
        return self._queue.rate_limit_per_s

    @property
    def stalls(self) -> int:
        """Number of times that the target has stopped answering."""
        return self._queue.stalls

    def close(self) -> None:
        """Refuses new and waiting calls; running calls end as usual."""
        self._is_closed = True
        self._queue.close()

    def on_target_changed(self) -> None:
        """Resets the state of the target after its announcement changed."""
        self._set_slots()
        self._calls.reset()
        self._failures.reset()
        current = self._registry.current
        incarnation = (current.target_id, current.born_ms)
        if incarnation != self._incarnation:
            self._incarnation = incarnation
            self._queue.note_answer()
            self._condition = None
            self._work.reset()
            self._limit_rate(None)
            if self._cold is not None:
                self._cold.warmth.start()

    def refuse_waiting(
        self, make_error: collections.abc.Callable[[], exceptions.CallError]
    ) -> None:
        """Refuses the waiting calls; running calls end as usual."""
        self._queue.refuse_waiting(make_error)

    def apply_condition(
        self, target_id: str, condition: target_condition.TargetCondition
    ) -> None:
        """Applies what the target said of itself in its latest answer."""
        current = self._registry.current
        if current is None or current.target_id != target_id:
            return
        self._condition = condition
        self._work.apply_load(condition.load)
        self._limit_rate(condition.rate_limit_per_s)
        if condition.is_leaving:
            self._registry.note_leaving(target_id)

    def _limit_rate(self, limit_per_s: float | None) -> None:
        known = self._queue.rate_limit_per_s
        if limit_per_s == known:
            return
        # A target may name another limit in each answer.
        has_begun_or_ended = known is None or limit_per_s is None
        _LOGGER.log(
            logging.INFO if has_begun_or_ended else logging.DEBUG,
            "event=target-rate-limit target=%s per_s=%s before=%s queued=%d",
            self._registry.current.target_id,
            limit_per_s,
            known,
            self._queue.queued,
        )
        self._queue.limit_rate(limit_per_s)

    def limit_connections(self, maximum: int) -> None:
        """Limits the connections to the target; 0 means only by its slots.

        Each call at the target uses a separate connection.
        """
        self._max_connections = maximum
        self._set_slots()

    def _set_slots(self) -> None:
        current = self._registry.current
        if current is None:
            return
        maximum = self._max_connections or current.slots
        self._queue.slots = max(1, min(current.slots, maximum))

    def cancel(self, call_id: str) -> None:
        """Drops a call if it is waiting, or if it is running and idempotent."""
        is_waiting = (
            self._queue.cancel(call_id)
            or self._quarantine.cancel(call_id)
            or self._bodies.cancel(call_id)
        )
        if not is_waiting:
            self._calls.cancel(call_id)

    async def handle(
        self,
        request: call_request.CallRequest,
        *,
        announced: announced_body.AnnouncedBody | None = None,
    ) -> call_answer.CallAnswer:
        """Runs a call; a failed call is a result, not an exception.

        Args:
            request: The call.
            announced: Its body, if it is to be fetched.
        """
        started_s = self._clock.monotonic_s()
        self._accepted_calls += 1
        try:
            result, ran_ms = await self._admit(request, announced, started_s)
        finally:
            self._accepted_calls -= 1
            self._bodies.release(request.call_id)
        report = gate_report.GateReport(
            running=self._queue.running,
            queued=self._queue.queued,
            ran_ms=int(ran_ms),
            failure_permille=self._failures.permille,
            wait_ms=int(self._wait_ms(request, announced)),
            waits_ms=self._queue.expected_waits_ms(),
            condition=self._work.faded(self._condition),
            admits_retries=self._runs.admits_retry(),
            cold_rate_per_s=self._cold.rate_per_s if self._cold else None,
            backlog_ms=self._work.backlog_ms(),
        )
        return call_answer.CallAnswer(request.call_id, result, report)

    def _wait_ms(
        self,
        request: call_request.CallRequest,
        announced: announced_body.AnnouncedBody | None,
    ) -> float:
        """Returns how long a call like this one would wait now."""
        deadline_s = self._clock.monotonic_s() + request.deadline_ms / MS_PER_S
        wait_ms = self._queue.expected_wait_ms(
            request.priority,
            deadline_s,
            route=request.route,
            tenant=request.tenant,
        )
        if announced is None:
            return wait_ms
        return max(wait_ms, self._bodies.wait_ms())

    async def _with_body(
        self,
        request: call_request.CallRequest,
        announced: announced_body.AnnouncedBody,
        deadline_s: float,
    ) -> call_request.CallRequest:
        """Fetches the body of a call that the queue would admit."""
        terms = admission_terms.AdmissionTerms(
            request.call_id,
            request.route,
            request.priority,
            deadline_s,
            request.target_latency_ms,
            request.waited_ms,
            request.tenant,
            request.cost_ms,
        )
        self._queue.check(
            terms,
            ready_ms=self._bodies.wait_ms(),
            max_wait_ms=request.max_wait_ms,
        )
        body = await self._bodies.fetch(
            request.call_id,
            announced,
            priority=request.priority,
            deadline_s=deadline_s,
        )
        # The gate has taken the call: it isn't declined any more.
        waited_ms = (
            request.waited_ms
            + request.deadline_ms
            - ((deadline_s - self._clock.monotonic_s()) * MS_PER_S)
        )
        return request._replace(
            body=body, max_wait_ms=None, waited_ms=waited_ms
        )

    async def _admit(
        self,
        request: call_request.CallRequest,
        announced: announced_body.AnnouncedBody | None,
        started_s: float,
    ) -> tuple[call_result.CallResult, float]:
        deadline_s = started_s + request.deadline_ms / MS_PER_S
        try:
            self._check(request)
            self._learn_limit(request)
            if self._cold is not None:
                self._cold.warmth.learn_rate(request.cold_rate_per_s)
                self._cold.check()
            if announced is not None:
                request = await self._with_body(request, announced, deadline_s)
            async with self._quarantine.turn(request):
                return await self._queue_and_run(request, started_s, deadline_s)
        except exceptions.CallError as error:
            self._stats.count(
                "gate", outcome=outcome.Outcome.NOT_RUN, reason=error.code
            )
            # Logged only if sampled: the caller's node logs the refusal if no
            # other target accepts the call.
            self._log.log_decision(
                request.request_id,
                "gate-refused",
                call=request.call_id,
                failure=error.code,
                detail=str(error),
                queued=self._queue.queued,
                running=self._queue.running,
                waited_ms=self._elapsed_ms(started_s),
            )
            return local_replies.not_run(error), 0.0

    async def _queue_and_run(
        self,
        request: call_request.CallRequest,
        started_s: float,
        deadline_s: float,
    ) -> tuple[call_result.CallResult, float]:
        expected_ms = self._work.add(
            request, self._times.expected_ms(request.route)
        )
        try:
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
                expected_ms=expected_ms,
            )
        except BaseException:
            self._work.end(request.call_id)
            raise
        try:
            self._work.start(request.call_id)
            # While the call was queued, the target may have left, and others
            # may have crashed under the same request.
            self._check(request)
            self._quarantine.check(request)
            if self._cold is not None:
                self._cold.take()
            return await self._dispatch(request, started_s, deadline_s)
        finally:
            self._work.end(request.call_id)
            self._queue.release(request.call_id)

    def _check(self, request: call_request.CallRequest) -> None:
        current = self._registry.current
        if current is None:
            raise exceptions.NoTargetError("no target has announced itself")
        if self._is_closed or not self._registry.is_accepting():
            raise exceptions.LeavingError(
                f"target {current.target_id} is leaving"
            )
        if request.service != current.service or (
            request.target_id and request.target_id != current.target_id
        ):
            raise exceptions.LeavingError(
                f"target {request.target_id} is gone; {current.target_id}"
                " is here"
            )
        if self._is_withdrawn(current.service, current.version):
            raise exceptions.LeavingError(
                f"version {current.version} is withdrawn"
            )
        if self._is_evacuated():
            raise exceptions.EvacuatedError("the data centre is evacuated")
        self._calls.check_connected(request.call_id)
        if request.is_retry and not self._runs.admits_retry():
            raise exceptions.RetryRefusedError(
                "retries are too large a share of the target's runs",
                retry_after_ms=REFUSED_RETRY_AFTER_MS,
            )

    def _learn_limit(self, request: call_request.CallRequest) -> None:
        """Uses the limit that a caller knows until the target answers."""
        if self._condition is None and (
            request.target_rate_limit_per_s is not None
        ):
            self._limit_rate(request.target_rate_limit_per_s)

    async def _dispatch(
        self,
        request: call_request.CallRequest,
        started_s: float,
        deadline_s: float,
    ) -> tuple[call_result.CallResult, float]:
        sent_s = self._clock.monotonic_s()
        left_ms = int((deadline_s - sent_s) * MS_PER_S)
        if left_ms <= 0:
            raise exceptions.OverloadedError(
                "no time left for the target", retry_after_ms=0
            )
        forwarded = request._replace(
            deadline_ms=left_ms, target_id=self._registry.current.target_id
        )
        result = await self._run(forwarded, deadline_s)
        ran_ms = self._elapsed_ms(sent_s)
        self._record_end(request, result, ran_ms, sent_s - started_s)
        return result, ran_ms

    async def _run(
        self, request: call_request.CallRequest, deadline_s: float
    ) -> call_result.CallResult:
        has_run = True
        self._runs.start(request)
        try:
            result = await self._calls.run(request, deadline_s)
            has_run = result.outcome != outcome.Outcome.NOT_RUN
            is_answer = result.outcome == outcome.Outcome.ANSWER
            if is_answer or (not has_run and result.has_reached_target):
                self._queue.note_answer()
            return result
        finally:
            self._runs.end(request, has_run=has_run)

    def _record_end(
        self,
        request: call_request.CallRequest,
        result: call_result.CallResult,
        ran_ms: float,
        waited_s: float,
    ) -> None:
        if self._cold is not None and result.failure in _MAY_HAVE_RESTARTED:
            self._cold.warmth.assume(result.failure)
        if result.failure == exceptions.CancelledCallError.code:
            return
        is_answer = result.outcome == outcome.Outcome.ANSWER
        has_failed = not is_answer or result.status >= SERVER_ERROR
        self._stats.count(
            "gate", outcome=result.outcome, reason=reason_of(result)
        )
        has_run = result.outcome != outcome.Outcome.NOT_RUN
        if has_run or result.has_reached_target:
            self._stats.count_attempt(
                "gate",
                service=request.service,
                is_retry=request.is_retry,
                end="ran" if has_run else "refused",
            )
        self._stats.record_ms("target", ran_ms)
        self._stats.record_ms("queue", waited_s * MS_PER_S)
        self._failures.record(has_failed=has_failed)
        if is_answer and not has_failed:
            self._work.record(
                request,
                ran_ms=ran_ms,
                mean_ms=self._times.expected_ms(request.route),
            )
            self._times.record(request.route, ran_ms)
        if has_run:
            self._on_outcome(
                request.route, has_failed, ran_ms, self._registry.is_warm()
            )
        write = self._log.log_failure if has_failed else self._log.log_decision
        is_lost = result.outcome == outcome.Outcome.UNKNOWN
        write(
            request.request_id,
            "target-ended",
            call=request.call_id,
            target=request.target_id,
            route=request.route,
            outcome=result.outcome,
            status=result.status,
            failure=result.failure or "-",
            waited_ms=waited_s * MS_PER_S,
            ran_ms=ran_ms,
            queued=self._queue.queued,
            running=self._queue.running,
            fingerprint=request_fingerprint.of(request).hex()
            if is_lost
            else "-",
        )

    def _elapsed_ms(self, since_s: float) -> float:
        return (self._clock.monotonic_s() - since_s) * MS_PER_S


def reason_of(result: call_result.CallResult) -> str:
    """Returns the failure code, or the status class such as `5xx`."""
    return result.failure or f"{result.status // 100}xx"
