"""State of the attempts of one request."""

import math

from galenatack import exceptions
from galenatack.estimates import request_cost
from galenatack.model import call_result
from galenatack.model import caller_request
from galenatack.model import host_route
from galenatack.model import outcome
from galenatack.model import tenant as tenant_module
from galenatack.tenants import tenant_pass

MAX_EXCUSED_REFUSALS = 5
"""Refusals of cold targets that do not count. When a data centre starts, most
of its targets are cold, and a node learns so from the refusal of each."""


class RequestAttempts:
    """Attempts of one request and the final answer derived from them.

    Args:
        request: The request.
        route: Route of the request.
        service: Service that was chosen by weight, the same for all attempts.
        config_version: Version of the configuration that has the route.
        deadline_s: Monotonic time by which the caller must have an answer.
        arrived_s: Monotonic time at which the request first came; None if it
            counts from its first attempt on.
        retry_share: Probability that the request descends from a retry.
        sender: What is known of the sender; None if there are no tenants.
        cost: What the request is expected to cost; None without estimates.

    Attributes:
        tried: Ids of the nodes that were tried.
        trail: Result of each attempt, as `node:failure` or `node:status`.
        arrivals: Number of attempts that reached a target, or may have.
        refusals: Number of attempts that were refused, but for excused ones.
        runs: Number of attempts that ran, or may have.
        charges: Number of attempts that the tenant's quota was charged for,
            without those that were charged again.
        charged_until_s: Monotonic time until which the last charge may serve
            another attempt, if the one before did not run.
        is_sent: Whether an attempt has been sent whose result is unknown.
        crashes: Number of attempts under which the target crashed.
        declined: Ids of the nodes whose gates declined an offer since the last
            attempt.
        is_trial: Whether the next attempt is a trial of its request.
    """

    def __init__(
        self,
        *,
        request: caller_request.CallerRequest,
        route: host_route.HostRoute,
        service: str,
        config_version: int,
        deadline_s: float,
        retry_share: float = 0.0,
        sender: tenant_pass.TenantPass | None = None,
        arrived_s: float | None = None,
        cost: request_cost.RequestCost | None = None,
    ):
        self.request = request
        self.route = route
        self.service = service
        self.config_version = config_version
        self.deadline_s = deadline_s
        self.retry_share = retry_share
        self.sender = sender
        self.arrived_s = arrived_s
        self.cost = cost
        self.tried: set[str] = set()
        self.trail: list[str] = []
        self.arrivals = 0
        self.refusals = 0
        self._excused = 0
        self.runs = 0
        self.charges = 0
        self.charged_until_s = -math.inf
        self.is_sent = False
        self.crashes = 0
        self.is_trial = False
        self.declined: set[str] = set()
        self._answer: call_result.CallResult | None = None
        self._unknown: call_result.CallResult | None = None
        self._refusal: call_result.CallResult | None = None

    @property
    def tenant(self) -> str:
        """Name of the tenant; empty without one."""
        return "" if self.sender is None else self.sender.name

    @property
    def known_tenant(self) -> tenant_module.Tenant | None:
        """The tenant that sent the request; None if there is none."""
        return None if self.sender is None else self.sender.tenant

    @property
    def is_retry(self) -> bool:
        """Whether a further attempt is a retry."""
        return self.arrivals > 0

    def add(self, node_id: str, result: call_result.CallResult) -> None:
        """Adds the result of one attempt."""
        self.tried.add(node_id)
        self.declined.clear()
        self.trail.append(f"{node_id}:{result.failure or result.status}")
        is_unknown = result.outcome == outcome.Outcome.UNKNOWN
        if is_unknown or result.has_reached_target:
            self.arrivals += 1
        self.runs += result.outcome != outcome.Outcome.NOT_RUN
        self.crashes += result.failure == exceptions.TargetCrashedError.code
        if result.outcome == outcome.Outcome.ANSWER:
            self._answer = result
        elif is_unknown:
            self._unknown = result
        else:
            self.refusals += 1
            self._refusal = result

    def excuse_refusal(self) -> None:
        """Excuses the refusal of a cold target, which others need not share."""
        if self._excused < MAX_EXCUSED_REFUSALS:
            self._excused += 1
            self.refusals -= 1

    def final(self, last: call_result.CallResult) -> call_result.CallResult:
        """Returns the answer for the caller.

        An answer of a target has precedence over a failure in the mesh, and a
        call that may have run is never reported as not run.

        Args:
            last: Result of the last attempt, or the refusal if there was none.
        """
        if last.outcome == outcome.Outcome.ANSWER:
            return last
        return self._answer or self._unknown or self._preferred_refusal(last)

    def _preferred_refusal(
        self, last: call_result.CallResult
    ) -> call_result.CallResult:
        """Prefers the refusal of a gate, which has a better retry time."""
        return self._refusal or last
