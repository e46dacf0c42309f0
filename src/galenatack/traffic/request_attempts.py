"""State of the attempts of one request."""

from galenatack import exceptions
from galenatack.estimates import request_cost
from galenatack.model import call_result
from galenatack.model import caller_request
from galenatack.model import host_route
from galenatack.model import outcome


class RequestAttempts:
    """Attempts of one request and the final answer derived from them.

    Args:
        request: The request.
        route: Route of the request.
        service: Service that was chosen by weight, the same for all attempts.
        config_version: Version of the configuration that has the route.
        deadline_s: Monotonic time by which the caller must have an answer.
        retry_share: Probability that the request descends from a retry.
        cost: What the request is expected to cost; None without estimates.

    Attributes:
        tried: Ids of the nodes that were tried.
        trail: Result of each attempt, as `node:failure` or `node:status`.
        arrivals: Number of attempts that reached a target, or may have.
        refusals: Number of attempts that were refused.
        crashes: Number of attempts under which the target crashed.
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
        cost: request_cost.RequestCost | None = None,
    ):
        self.request = request
        self.route = route
        self.service = service
        self.config_version = config_version
        self.deadline_s = deadline_s
        self.retry_share = retry_share
        self.cost = cost
        self.tried: set[str] = set()
        self.trail: list[str] = []
        self.arrivals = 0
        self.refusals = 0
        self.crashes = 0
        self.is_trial = False
        self._answer: call_result.CallResult | None = None
        self._unknown: call_result.CallResult | None = None
        self._refusal: call_result.CallResult | None = None

    @property
    def is_retry(self) -> bool:
        """Whether a further attempt is a retry."""
        return self.arrivals > 0

    def add(self, node_id: str, result: call_result.CallResult) -> None:
        """Adds the result of one attempt."""
        self.tried.add(node_id)
        self.trail.append(f"{node_id}:{result.failure or result.status}")
        is_unknown = result.outcome == outcome.Outcome.UNKNOWN
        if is_unknown or result.has_reached_target:
            self.arrivals += 1
        self.crashes += result.failure == exceptions.TargetCrashedError.code
        if result.outcome == outcome.Outcome.ANSWER:
            self._answer = result
        elif is_unknown:
            self._unknown = result
        else:
            self.refusals += 1
            self._refusal = result

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
