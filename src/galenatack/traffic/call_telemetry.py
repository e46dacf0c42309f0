"""Log lines, counters and histograms of routed calls."""

from galenatack import exceptions
from galenatack.admission import target_gate
from galenatack.interfaces import clock as clock_interface
from galenatack.model import call_request
from galenatack.model import call_result
from galenatack.model import caller_request
from galenatack.model import member_record
from galenatack.placement import target_placement
from galenatack.routing import local_replies
from galenatack.telemetry import call_stats
from galenatack.telemetry import request_log
from galenatack.traffic import attempt_budget
from galenatack.traffic import config_holder
from galenatack.traffic import request_attempts

MS_PER_S = 1000.0


class CallTelemetry:
    """Records the decisions about a call and the figures behind them.

    Args:
        config: The configuration in force.
        placement: Views of the gates.
        budget: Retry budget.
        clock: Source of time.
        log: Log of single requests.
        stats: Counters and histograms.
    """

    def __init__(
        self,
        *,
        config: config_holder.ConfigHolder,
        placement: target_placement.TargetPlacement,
        budget: attempt_budget.AttemptBudget,
        clock: clock_interface.Clock,
        log: request_log.RequestLog,
        stats: call_stats.CallStats,
    ):
        self._config = config
        self._placement = placement
        self._budget = budget
        self._clock = clock
        self._log = log
        self._stats = stats

    def record_placed(
        self,
        attempts: request_attempts.RequestAttempts,
        call: call_request.CallRequest,
        member: member_record.MemberRecord,
    ) -> None:
        """Counts and logs an attempt at a target."""
        self._stats.count_attempt(
            "router",
            service=call.service,
            is_retry=call.is_retry,
            end="sent",
        )
        if not self._log.is_sampled(call.request_id):
            return
        view = self._placement.view(member)
        self._log.log_decision(
            call.request_id,
            "placed",
            call=call.call_id,
            route=call.route,
            config=attempts.config_version,
            to=member.node_id,
            target=member.target_id,
            version=member.version,
            expected_calls=view.calls(self._clock.monotonic_s()),
            slots=member.slots,
            left_ms=call.deadline_ms,
            attempt=attempts.arrivals + 1,
            budget_left=self._budget.remaining(attempts.service),
        )

    def record_not_placed(
        self,
        attempts: request_attempts.RequestAttempts,
        error: exceptions.CallError,
    ) -> None:
        """Logs why a request is not sent, or not retried."""
        if not self._log.is_sampled(attempts.request.request_id):
            return
        now_s = self._clock.monotonic_s()
        self._log.log_decision(
            attempts.request.request_id,
            "not-placed",
            failure=error.code,
            detail=str(error),
            service=attempts.service,
            route=attempts.route.name,
            tried=",".join(sorted(attempts.tried)) or "-",
            left_ms=(attempts.deadline_s - now_s) * MS_PER_S,
            config=attempts.config_version,
            budget_left=self._budget.remaining(attempts.service),
        )

    def record_answered(
        self,
        request: caller_request.CallerRequest,
        attempts: request_attempts.RequestAttempts | None,
        result: call_result.CallResult,
        started_s: float,
    ) -> None:
        """Counts and logs the answer to the caller.

        A failed request is logged in a single line, because the number of
        lines about failed requests is limited.

        Args:
            request: The request.
            attempts: Attempts of the request; None if it was refused before
                the first one.
            result: The answer.
            started_s: Monotonic time at which the request began to arrive.
        """
        took_ms = (self._clock.monotonic_s() - started_s) * MS_PER_S
        self._stats.count(
            "router",
            outcome=result.outcome,
            reason=target_gate.reason_of(result),
        )
        self._stats.record_ms("total", took_ms)
        has_failed = result.status >= target_gate.SERVER_ERROR
        if not has_failed and not self._log.is_sampled(request.request_id):
            return
        write = self._log.log_failure if has_failed else self._log.log_decision
        write(
            request.request_id,
            "answered",
            outcome=result.outcome,
            status=result.status,
            failure=result.failure or "-",
            detail=local_replies.detail(result) or "-",
            route=attempts.route.name if attempts else "-",
            tried=",".join(attempts.trail)
            if attempts and attempts.trail
            else "-",
            retry_after_ms=result.retry_after_ms,
            received_ms=request.receive_ms,
            took_ms=took_ms,
            deadline_ms=request.deadline_ms,
            config=self._config.version,
        )
