"""What the turn of a call at the gate of a target depends on."""

import typing


class AdmissionTerms(typing.NamedTuple):
    """What the turn of a call at the gate of a target depends on.

    Attributes:
        call_id: Id of the call.
        route: Route of the call.
        priority: Priority of the call; 0 is the most urgent.
        deadline_s: Monotonic time by which the call must have ended.
        target_latency_ms: Latency that the route aims for; 0 if only the
            deadline applies.
        waited_ms: How much of that its request has used before.
        tenant: Tenant of the call; empty without one.
        cost_ms: Work of the call; 0 if it is not known.
    """

    call_id: str
    route: str
    priority: int
    deadline_s: float
    target_latency_ms: float
    waited_ms: float = 0.0
    tenant: str = ""
    cost_ms: float = 0.0

    @property
    def flow(self) -> str:
        """Calls that share one turn.

        Calls without a tenant, such as those of targets, are not one crowd:
        each of their routes has a turn.
        """
        return self.tenant or f"route/{self.route}"

    @property
    def objective_left_ms(self) -> float:
        """What is left of the target latency; 0 if nothing is."""
        return max(0.0, self.target_latency_ms - self.waited_ms)
