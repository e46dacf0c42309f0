"""A call that waits for a slot of the target."""

import asyncio
import math

from galenatack import exceptions
from galenatack.model import admission_terms

MS_PER_S = 1000.0

GRANTED = "granted"
CANCELLED = "cancelled"
REFUSED = "refused"


class WaitingCall:
    """A call in an admission queue.

    Args:
        terms: What the order of the queue depends on.
        number: Number of its arrival.
        now_s: Monotonic time of its arrival.
        expected_ms: Expected service time.
        allowed_ms: How long it may wait.
        future: Receives how the wait ended.

    Attributes:
        flow: Calls that share one turn with it.
        is_late: Whether its answer can no longer be in its objective.
    """

    __slots__ = (
        "call_id",
        "cost_ms",
        "deadline_s",
        "expected_ms",
        "expires_s",
        "flow",
        "future",
        "has_tenant",
        "is_late",
        "number",
        "objective_s",
        "priority",
    )

    def __init__(
        self,
        terms: admission_terms.AdmissionTerms,
        number: int,
        *,
        now_s: float,
        expected_ms: float,
        allowed_ms: float,
        future: "asyncio.Future[str | exceptions.CallError]",
    ):
        self.call_id = terms.call_id
        self.flow = terms.flow
        self.has_tenant = bool(terms.tenant)
        self.priority = terms.priority
        self.deadline_s = terms.deadline_s
        self.number = number
        self.expected_ms = expected_ms
        self.cost_ms = terms.cost_ms or expected_ms
        self.expires_s = now_s + allowed_ms / MS_PER_S
        self.objective_s = math.inf
        if terms.target_latency_ms:
            self.objective_s = now_s + terms.objective_left_ms / MS_PER_S
        self.is_late = False
        self.note_time(now_s)
        self.future = future

    @property
    def rank(self) -> tuple[int, bool, bool]:
        """What goes before any fair turn.

        Priority, then in time, then calls of no tenant: nearly all of them are
        made by runs, which hold slots until they end, for all tenants. One
        flow beside those of many tenants, they would wait for all of these.
        """
        return (self.priority, self.is_late, self.has_tenant)

    def note_time(self, now_s: float) -> bool:
        """Returns whether it has become late by now."""
        if self.is_late:
            return False
        self.is_late = now_s + self.expected_ms / MS_PER_S > self.objective_s
        return self.is_late

    def end(self, result: str | exceptions.CallError) -> None:
        """Ends the wait, with an error if it is refused for that."""
        if not self.future.done():
            self.future.set_result(result)

    def place(self) -> tuple[int, bool, float, int]:
        """Returns its place within a flow; the least goes first."""
        return (self.priority, self.is_late, self.deadline_s, self.number)

    def __lt__(self, other: "WaitingCall") -> bool:
        """Returns whether it goes first within a flow."""
        return self.place() < other.place()
