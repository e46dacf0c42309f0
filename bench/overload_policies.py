"""Policies of queues and placement that the overload benchmark compares."""

import collections.abc
import heapq
import math
import typing

from galenatack.admission import admission_queue
from galenatack.model import gate_report
from galenatack.model import member_record
from galenatack.placement import gate_view
from galenatack.placement import target_placement

MS_PER_S = 1000.0
SHARE_SMOOTHING = 0.15
LATE_PRIORITY = 0.5
"""Added to the priority of a call that cannot meet its objective any more: it
goes after the others of its priority, and before less urgent calls."""


class Policy(typing.NamedTuple):
    """What the nodes of a run use.

    Attributes:
        queue: Makes the queue of a target.
        placement: Makes the placement of a node, from the priorities of routes.
        waits_ms: Returns what a gate tells of its queue, by priority.
        apply_waits: Adds that to the view of the gate.
        objective_ms: Returns the objective that a call carries, from that of
            its route and the time since its first try.
    """

    queue: collections.abc.Callable[..., admission_queue.AdmissionQueue]
    placement: collections.abc.Callable[..., target_placement.TargetPlacement]
    waits_ms: collections.abc.Callable[[typing.Any], tuple[int, ...]]
    apply_waits: collections.abc.Callable[..., None]
    objective_ms: collections.abc.Callable[[float, float], float]


class WaitsView(gate_view.GateView):
    """Estimates waits from the reported waits by priority.

    Args:
        priorities: Priority of each route.
        boot_ms: Start time of the gate's node.
    """

    def __init__(
        self, priorities: collections.abc.Mapping[str, int], *, boot_ms: int
    ):
        super().__init__(boot_ms=boot_ms)
        self._priorities = priorities
        self._waits_ms: tuple[int, ...] = ()
        self._shares: dict[str, float] = {}

    def apply_waits(
        self,
        waits_ms: tuple[int, ...],
        report: gate_report.GateReport,
        route: str,
    ) -> None:
        """Keeps the waits, and how much of its own the route has waited.

        Calls with a near deadline wait for a part of the queue only.
        """
        self._waits_ms = waits_ms
        queued_ms = self._queued_ms(route)
        if queued_ms:
            known = self._shares.get(route, 1.0)
            latest = min(1.0, report.wait_ms / queued_ms)
            self._shares[route] = known + SHARE_SMOOTHING * (latest - known)

    def wait_ms(self, route: str, slots: float, now_s: float) -> float:
        """Returns how long a call of a route would wait for a slot."""
        load = (self.calls(now_s) + 1) / slots
        shared_ms = max(0.0, load - 1.0) * self.times.expected_ms(route)
        if not self._waits_ms:
            return shared_ms
        age_s = now_s - self._reported_s
        freshness = math.exp(-age_s / gate_view.REPORT_DECAY_S)
        reported_ms = self._shares.get(route, 1.0) * self._queued_ms(route)
        return freshness * reported_ms + (1.0 - freshness) * shared_ms

    def _queued_ms(self, route: str) -> float:
        priority = min(self._priorities[route], len(self._waits_ms) - 1)
        return self._waits_ms[priority]


class WaitsPlacement(target_placement.TargetPlacement):
    """Places calls by `WaitsView`s.

    Args:
        priorities: Priority of each route.
        more: Arguments of the placement.
    """

    def __init__(
        self,
        priorities: collections.abc.Mapping[str, int],
        **more: typing.Any,
    ):
        super().__init__(**more)
        self._priorities = priorities

    def view(self, member: member_record.MemberRecord) -> gate_view.GateView:
        """Returns the view of a gate."""
        if member.node_id not in self._views:
            self._views[member.node_id] = WaitsView(
                self._priorities, boot_ms=member.boot_ms
            )
        return self._views[member.node_id]


class ObjectiveQueue(admission_queue.AdmissionQueue):
    """Lets calls that can still be in their objective go first.

    Among calls of the same priority, one whose objective cannot be met any
    more gets a slot only if no other wants it.
    """

    def __init__(self, **more: typing.Any):
        super().__init__(**more)
        self._objectives_s: dict[str, float] = {}

    async def acquire(
        self,
        call_id: str,
        *,
        route: str,
        priority: int,
        deadline_s: float,
        target_latency_ms: float,
        expected_ms: float | None = None,
    ) -> None:
        """Acquires a slot, waiting for one if necessary."""
        now_s = self._clock.monotonic_s()
        if expected_ms is None:
            expected_ms = self._times.expected_ms(route)
        self._objectives_s[call_id] = now_s + target_latency_ms / MS_PER_S
        if target_latency_ms < expected_ms:
            priority += LATE_PRIORITY
        try:
            await super().acquire(
                call_id,
                route=route,
                priority=priority,
                deadline_s=deadline_s,
                target_latency_ms=target_latency_ms,
                expected_ms=expected_ms,
            )
        finally:
            del self._objectives_s[call_id]

    def _grant(self) -> None:
        self._move_late()
        super()._grant()

    def _move_late(self) -> None:
        """Puts the first call behind others as long as it would be late."""
        now_s = self._clock.monotonic_s()
        while self._heap:
            waiter = self._heap[0]
            priority, *rest = waiter.order
            end_s = now_s + waiter.expected_ms / MS_PER_S
            is_known = waiter.call_id in self._objectives_s
            if priority % 1 or not is_known:
                return
            if end_s <= self._objectives_s[waiter.call_id]:
                return
            heapq.heappop(self._heap)
            waiter.order = (priority + LATE_PRIORITY, *rest)
            heapq.heappush(self._heap, waiter)


def _waits_ms(queue: admission_queue.AdmissionQueue) -> tuple[int, ...]:
    waiting = queue._waiting.values()
    least = max((int(waiter.order[0]) for waiter in waiting), default=0)
    return tuple(
        int(queue.expected_wait_ms(priority, math.inf))
        for priority in range(least + 1)
    )


def _rest_ms(objective_ms: float, spent_ms: float) -> float:
    return max(1.0, objective_ms - spent_ms)


CURRENT = Policy(
    queue=admission_queue.AdmissionQueue,
    placement=lambda _, **more: target_placement.TargetPlacement(**more),
    waits_ms=lambda _: (),
    apply_waits=lambda *_: None,
    objective_ms=lambda objective_ms, _: objective_ms,
)
WAITS = CURRENT._replace(
    placement=WaitsPlacement,
    waits_ms=_waits_ms,
    apply_waits=WaitsView.apply_waits,
)
REST = WAITS._replace(objective_ms=_rest_ms)
POLICIES = {
    "current": CURRENT,
    "waits": WAITS,
    "rest": REST,
    "late-last": REST._replace(queue=ObjectiveQueue),
}
"""`waits`: waits by priority in the reports; `rest`: and calls carry the rest
of their objective; `late-last`: and those that cannot meet it go last."""
