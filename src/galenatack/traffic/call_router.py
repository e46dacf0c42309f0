"""Routes the calls of callers and of the local target."""

import logging

from galenatack import exceptions
from galenatack.admission import retried_runs
from galenatack.admission import target_gate
from galenatack.estimates import call_estimates
from galenatack.homes import homes
from galenatack.homes import permitted_targets
from galenatack.interfaces import clock as clock_interface
from galenatack.messages import call_answer
from galenatack.model import call_result
from galenatack.model import caller_request
from galenatack.model import host_route
from galenatack.model import member_record
from galenatack.model import outcome
from galenatack.placement import known_conditions
from galenatack.placement import offer as offer_module
from galenatack.placement import target_placement
from galenatack.quarantine import crash_ledger
from galenatack.quarantine import quarantine as quarantine_module
from galenatack.rollouts import version_chooser
from galenatack.routing import local_replies
from galenatack.tenants import tenant_admission
from galenatack.tenants import tenant_pass
from galenatack.traffic import attempt_budget
from galenatack.traffic import call_sender
from galenatack.traffic import call_telemetry
from galenatack.traffic import config_holder
from galenatack.traffic import request_attempts
from galenatack.traffic import returned_requests
from galenatack.traffic import shutdown_admission
from galenatack.traffic import weighted_choice

_LOGGER = logging.getLogger(__name__)

MS_PER_S = 1000.0
BODY_TOO_LARGE = 413

NO_TARGET_RETRY_AFTER_MS = 400
"""A starting target is announced, and a starting node has its configuration,
within about this time."""

UNUSABLE_ROUTE_RETRY_AFTER_MS = 2000
"""Only the next configuration or release can make the route usable."""

MAX_REFUSALS = 3
"""Number of gates that may refuse a call before the caller is told to retry
later; each refusal costs a network round trip."""

_TARGET_DOWN = frozenset(
    {exceptions.TargetConnectError.code, exceptions.TargetCrashedError.code}
)


class CallRouter:
    """Finds the route of a request and sends it to targets until one answers.

    Args:
        config: The configuration in force.
        targets: Targets that a call may be sent to.
        versions: Chooses the version.
        placement: Chooses the target.
        budget: Retry budget.
        runs: Share of retries among the runs of the local target.
        sender: Sends calls to gates.
        returned: Recognizes callers that come back after a refusal.
        conditions: Receives what targets say of themselves.
        quarantine: Decides on requests under which targets crash.
        shutdown: Decides which requests are taken during a shutdown.
        tenants: Checks the keys of tenants.
        clock: Source of time.
        telemetry: Log lines and counters.
        estimates: Estimates of what requests cost.

    Attributes:
        in_flight: Requests without an answer yet.
        declined: Offers of calls that gates have declined.
    """

    def __init__(
        self,
        *,
        config: config_holder.ConfigHolder,
        targets: permitted_targets.PermittedTargets,
        versions: version_chooser.VersionChooser,
        placement: target_placement.TargetPlacement,
        budget: attempt_budget.AttemptBudget,
        runs: retried_runs.RetriedRuns,
        sender: call_sender.CallSender,
        returned: returned_requests.ReturnedRequests,
        conditions: known_conditions.KnownConditions,
        quarantine: quarantine_module.Quarantine,
        shutdown: shutdown_admission.ShutdownAdmission,
        tenants: tenant_admission.TenantAdmission,
        clock: clock_interface.Clock,
        telemetry: call_telemetry.CallTelemetry,
        estimates: call_estimates.CallEstimates,
    ):
        self._config = config
        self._targets = targets
        self._versions = versions
        self._placement = placement
        self._budget = budget
        self._runs = runs
        self._sender = sender
        self._returned = returned
        self._conditions = conditions
        self._quarantine = quarantine
        self._shutdown = shutdown
        self._tenants = tenants
        self._clock = clock
        self._telemetry = telemetry
        self._estimates = estimates
        self._weights = weighted_choice.WeightedChoice()
        self.in_flight = 0
        self.declined = 0

    async def handle(
        self, request: caller_request.CallerRequest
    ) -> call_result.CallResult:
        """Handles a request; a failed call is a result, not an exception."""
        # The caller waits from its first byte on.
        started_s = self._clock.monotonic_s() - request.receive_ms / MS_PER_S
        attempts = None
        self.in_flight += 1
        try:
            attempts = self._start_attempts(request, started_s)
            result = await self._try_targets(attempts)
        except exceptions.CallError as error:
            result = _refused(error)
        finally:
            self.in_flight -= 1
            # Also for a caller that has left.
            if attempts is not None:
                self._tenants.settle(attempts)
        if attempts is not None and result.outcome == outcome.Outcome.NOT_RUN:
            self._returned.note_refused(
                request, first_s=attempts.arrived_s, now_s=started_s
            )
        self._telemetry.record_answered(request, attempts, result, started_s)
        return result

    @property
    def returned_requests(self) -> int:
        """Number of requests of callers that came back after a refusal."""
        return self._returned.returned

    def timeout_ms(self, host: str, path: str, deadline_ms: int) -> int | None:
        """Returns how long a request may take, from its first byte on.

        Args:
            host: Requested host.
            path: Path and query.
            deadline_ms: Time that the caller waits; 0 if it is not given.

        Returns:
            The time in ms; None without a matching route.
        """
        table = self._config.table
        route = None if table is None else table.find(host, path)
        return None if route is None else _timeout_ms(route, deadline_ms)

    def _start_attempts(
        self, request: caller_request.CallerRequest, started_s: float
    ) -> request_attempts.RequestAttempts:
        table = self._config.table
        if table is None:
            raise exceptions.NoTargetError("no configuration yet")
        if len(request.body) > table.limits.max_body_bytes:
            raise exceptions.BadCallError(
                "body too large", status=BODY_TOO_LARGE
            )
        route = table.find(request.host, request.path)
        if route is None:
            raise exceptions.NoRouteError("no route matches")
        # Before anything else about a route: a caller without a key learns
        # nothing of it.
        sender = self._tenants.identify(request, route)
        _check_usable(route)
        timeout_ms = _timeout_ms(route, request.deadline_ms)
        deadline_s = started_s + timeout_ms / MS_PER_S
        self._shutdown.check(deadline_s)
        service = self._weights.pick(route)
        return request_attempts.RequestAttempts(
            request=request._replace(credential=""),
            route=tenant_pass.route_for(sender, route),
            service=service,
            config_version=table.version,
            deadline_s=deadline_s,
            # A request of the local target cannot be told from one of a caller.
            retry_share=self._runs.retry_share,
            sender=sender,
            arrived_s=self._returned.arrived_s(request, started_s),
            cost=self._estimates.cost(
                request,
                route,
                service,
                tenant="" if sender is None else sender.name,
            ),
        )

    async def _try_targets(
        self, attempts: request_attempts.RequestAttempts
    ) -> call_result.CallResult:
        while True:
            try:
                attempts.is_trial = await self._quarantine.admit(
                    attempts.request, left_s=self._left_s(attempts)
                )
                await self._tenants.admit(attempts)
                if not attempts.trail:
                    self._budget.record_first_attempt(
                        attempts.service, retry_share=attempts.retry_share
                    )
                groups = self._groups(attempts)
                result = await self._offer(attempts, groups)
            except exceptions.CallError as error:
                self._telemetry.record_not_placed(attempts, error)
                return attempts.final(_refused(error))
            if not self._may_retry(attempts, result):
                return attempts.final(result)

    async def _offer(
        self,
        attempts: request_attempts.RequestAttempts,
        groups: tuple[list[member_record.MemberRecord], ...],
    ) -> call_result.CallResult:
        """Offers a call to gates until one takes it or refuses it."""
        is_uncharged = attempts.is_retry
        while True:
            offer = self._choose(attempts, groups)
            if is_uncharged:
                # Only what is sent: the choice may have found no target.
                self._budget.try_spend(attempts.service)
                is_uncharged = False
            result = await self._attempt(attempts, offer)
            # A gate that declines a call without a limit has refused it.
            is_declined = (
                result.failure == exceptions.OfferDeclinedError.code
                and offer.max_wait_ms is not None
            )
            if not is_declined:
                attempts.add(offer.member.node_id, result)
                return result
            attempts.declined.add(offer.member.node_id)
            self._tenants.check(attempts.sender)
            self.declined += 1

    def _groups(
        self, attempts: request_attempts.RequestAttempts
    ) -> tuple[list[member_record.MemberRecord], ...]:
        """Returns the targets of an attempt, the preferred ones first."""
        if attempts.is_retry and not self._budget.has_remaining(
            attempts.service
        ):
            raise exceptions.RetryRefusedError(
                "the retry budget is used up",
                retry_after_ms=local_replies.DEFAULT_RETRY_AFTER_MS,
            )
        return self._versions.choose(
            attempts.service,
            self._targets.by_version(
                attempts.service, attempts.route, attempts.known_tenant
            ),
            is_retry=bool(attempts.tried),
            everywhere=self._targets.everywhere(attempts.service),
        )

    def _choose(
        self,
        attempts: request_attempts.RequestAttempts,
        groups: tuple[list[member_record.MemberRecord], ...],
    ) -> offer_module.Offer:
        left_ms = self._left_s(attempts) * MS_PER_S
        if left_ms <= 0:
            raise exceptions.DeadlineExceededError("deadline passed")
        *preferred, last = groups
        for members in preferred:
            try:
                return self._place(members, attempts, left_ms)
            except exceptions.OverloadedError as error:
                _LOGGER.debug("event=trial-targets-full error=%s", error)
        return self._place(last, attempts, left_ms)

    def _place(
        self,
        members: list[member_record.MemberRecord],
        attempts: request_attempts.RequestAttempts,
        left_ms: float,
    ) -> offer_module.Offer:
        return self._placement.offer(
            homes.permitted(members, attempts.route, attempts.known_tenant),
            route=attempts.route,
            left_ms=left_ms,
            tried=attempts.tried,
            is_retry=attempts.is_retry,
            asked=attempts.declined,
            tenant=attempts.tenant,
            cost=attempts.cost,
        )

    def _may_retry(
        self,
        attempts: request_attempts.RequestAttempts,
        result: call_result.CallResult,
    ) -> bool:
        if attempts.arrivals >= attempts.route.max_attempts:
            return False
        if attempts.crashes >= crash_ledger.TRIAL_CRASHES:
            return False
        if result.outcome == outcome.Outcome.ANSWER:
            is_failure = result.status >= target_gate.SERVER_ERROR
            return is_failure and attempts.route.is_idempotent
        if result.outcome == outcome.Outcome.NOT_RUN:
            return attempts.refusals < MAX_REFUSALS
        return attempts.route.is_idempotent

    def _left_s(self, attempts: request_attempts.RequestAttempts) -> float:
        return self._shutdown.left_s(attempts.deadline_s)

    async def _attempt(
        self,
        attempts: request_attempts.RequestAttempts,
        offer: offer_module.Offer,
    ) -> call_result.CallResult:
        member = offer.member
        call = self._sender.make_call(attempts, offer)
        view = self._placement.view(member)
        self._telemetry.record_placed(attempts, call, member)
        view.in_flight += 1
        sent_s = self._clock.monotonic_s()
        self._estimates.record_sent(attempts.cost, view, sent_s)
        attempts.is_sent = True
        try:
            answer = await self._sender.send(call, member, attempts.deadline_s)
            attempts.is_sent = False
        finally:
            view.in_flight -= 1
            self._estimates.record_ended(attempts.cost, view)
        if isinstance(answer, call_result.CallResult):
            view.eject(self._clock.monotonic_s())
            return answer
        self._apply_report(attempts, member, answer, sent_s)
        return answer.result

    def _apply_report(
        self,
        attempts: request_attempts.RequestAttempts,
        member: member_record.MemberRecord,
        answer: call_answer.CallAnswer,
        sent_s: float,
    ) -> None:
        view = self._placement.view(member)
        now_s = self._clock.monotonic_s()
        if answer.report is not None:
            view.apply_report(
                answer.report,
                attempts.route.name,
                now_s,
                priority=attempts.route.priority,
                tenant=attempts.tenant,
            )
            if view.cold.apply(answer.report, answer.result, now_s):
                attempts.excuse_refusal()
            self._estimates.record_report(
                attempts.cost,
                view,
                answer.report,
                took_ms=(now_s - sent_s) * MS_PER_S
                - self._placement.round_trip_ms(member),
                now_s=now_s,
            )
            if answer.report.condition is not None:
                self._conditions.record(member, answer.report.condition)
        if answer.result.failure == exceptions.EvacuatedError.code:
            self._targets.note_refusal(member)
        if answer.result.failure == exceptions.OverloadedError.code:
            view.record_refusal(
                attempts.route.name, now_s, tenant=attempts.tenant
            )
        if answer.result.failure in _TARGET_DOWN:
            view.eject(now_s)


def _check_usable(route: host_route.HostRoute) -> None:
    if not route.services:
        raise exceptions.UnusableRouteError(
            f"route {route.name}: unknown to this release:"
            f" {', '.join(route.unknowns)}",
            retry_after_ms=UNUSABLE_ROUTE_RETRY_AFTER_MS,
        )


def _timeout_ms(route: host_route.HostRoute, deadline_ms: int) -> int:
    return min(route.timeout_ms, deadline_ms or route.timeout_ms)


def _refused(error: exceptions.CallError) -> call_result.CallResult:
    result = local_replies.not_run(error)
    if isinstance(error, exceptions.NoTargetError):
        return result._replace(retry_after_ms=NO_TARGET_RETRY_AFTER_MS)
    return result
