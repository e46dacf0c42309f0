"""What was done for one request so far."""

from galenatack.model import call_result
from galenatack.model import caller_request
from galenatack.model import host_route
from galenatack.model import outcome


class RequestAttempts:
    """The sends of one request and the answer that they allow.

    Args:
        request: The request.
        route: Its route.
        service: Service that was chosen by weight; it stays the same.
        config_version: Version of the configuration that chose the route.
        deadline_s: Monotonic time by when the caller must have an answer.

    Attributes:
        tried: Nodes that were tried.
        trail: What came of each send, as `node:end`.
        arrivals: Sends that reached a target, or may have.
        refusals: Gates that refused the call.
    """

    def __init__(
        self,
        *,
        request: caller_request.CallerRequest,
        route: host_route.HostRoute,
        service: str,
        config_version: int,
        deadline_s: float,
    ):
        self.request = request
        self.route = route
        self.service = service
        self.config_version = config_version
        self.deadline_s = deadline_s
        self.tried: set[str] = set()
        self.trail: list[str] = []
        self.arrivals = 0
        self.refusals = 0
        self._answer: call_result.CallResult | None = None
        self._unknown: call_result.CallResult | None = None
        self._refusal: call_result.CallResult | None = None

    def add(self, node_id: str, result: call_result.CallResult) -> None:
        """Adds the result of one send."""
        self.tried.add(node_id)
        self.trail.append(f"{node_id}:{result.failure or result.status}")
        is_unknown = result.outcome == outcome.Outcome.UNKNOWN
        if is_unknown or result.has_reached_target:
            self.arrivals += 1
        if result.outcome == outcome.Outcome.ANSWER:
            self._answer = result
        elif is_unknown:
            self._unknown = result
        else:
            self.refusals += 1
            self._refusal = result

    def final(self, last: call_result.CallResult) -> call_result.CallResult:
        """Returns the answer for the caller.

        An answer of a target comes before a failure of our own, and a call
        that may have run is never said not to have run.

        Args:
            last: Result of the last send, or why there was none.
        """
        if last.outcome == outcome.Outcome.ANSWER:
            return last
        return self._answer or self._unknown or self._best_refusal(last)

    def _best_refusal(
        self, last: call_result.CallResult
    ) -> call_result.CallResult:
        """Prefers the refusal of a gate, which knows when it has room."""
        return self._refusal or last
