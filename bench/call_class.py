"""Calls that a benchmark sends."""

import typing


class CallClass(typing.NamedTuple):
    """Calls that have the same work and objective.

    Attributes:
        name: Name of the class.
        share: Share of all calls.
        work_ms: Mean service time.
        objective_ms: Latency objective.
        timeout_ms: Time until the caller gives up.
        priority: Priority; 0 is the most urgent.
        route: Name of the route; empty if it is that of the class.
        path: Path of the calls.
    """

    name: str
    share: float
    work_ms: float
    objective_ms: int
    timeout_ms: int
    priority: int
    route: str = ""
    path: str = "/"

    @property
    def route_name(self) -> str:
        """Name of the route."""
        return self.route or self.name
