"""What the calls at a gate and its target still need."""

from galenatack.estimates import elastic_share
from galenatack.estimates import prediction_errors
from galenatack.estimates import residual_life
from galenatack.estimates import target_slowness
from galenatack.interfaces import clock as clock_interface
from galenatack.model import call_request
from galenatack.model import target_condition
from galenatack.model import target_load

MS_PER_S = 1000.0


class _Call:
    __slots__ = ("expected_ms", "started_s", "work_ms")

    def __init__(self, work_ms: float, expected_ms: float):
        self.work_ms = work_ms
        self.expected_ms = expected_ms
        self.started_s: float | None = None


class GateWork:
    """Expects the times of calls at a gate, and sums up what is left of them.

    Callers send what they expect a call to cost. As long as these figures
    predict the times at the target worse than the mean of the route does, they
    are not used.

    Args:
        clock: Source of time.
    """

    def __init__(self, *, clock: clock_interface.Clock):
        self._clock = clock
        self._calls: dict[str, _Call] = {}
        self.reset()

    def reset(self) -> None:
        """Forgets the target, because another one has started."""
        self.errors = prediction_errors.PredictionErrors()
        self._slowness = target_slowness.TargetSlowness()
        self._elastic = elastic_share.ElasticShare()
        self._residual = residual_life.ResidualLife()

    def apply_load(self, load: target_load.TargetLoad | None) -> None:
        """Applies what the target said of its load."""
        if load is not None:
            self._slowness.apply_load(load, self._clock.monotonic_s())

    def faded(
        self, condition: target_condition.TargetCondition | None
    ) -> target_condition.TargetCondition | None:
        """Returns a condition with its slowdown faded by its age."""
        if condition is None or condition.load is None:
            return condition
        slowdown = self._slowness.reported(self._clock.monotonic_s())
        load = condition.load._replace(slowdown=slowdown)
        return condition._replace(load=load)

    def add(self, request: call_request.CallRequest, mean_ms: float) -> float:
        """Adds a call that may wait for a slot.

        Args:
            request: The call.
            mean_ms: Mean time of the calls of its route.

        Returns:
            The time for which it is expected to hold a slot.
        """
        work_ms = request.cost_ms or mean_ms / self._factor()
        is_used = request.cost_ms > 0 and self.errors.is_estimate_better
        expected_ms = work_ms * self._factor() if is_used else mean_ms
        self._calls[request.call_id] = _Call(work_ms, expected_ms)
        return expected_ms

    def start(self, call_id: str) -> None:
        """Records that a call has got its slot."""
        # A call id comes from another node, which may have used it twice.
        if (call := self._calls.get(call_id)) is not None:
            call.started_s = self._clock.monotonic_s()

    def end(self, call_id: str) -> None:
        """Removes a call, whether it has run or not."""
        self._calls.pop(call_id, None)

    def record(
        self,
        request: call_request.CallRequest,
        *,
        ran_ms: float,
        mean_ms: float,
    ) -> None:
        """Adds the time that a call took at the target."""
        if request.cost_ms <= 0 or ran_ms <= 0:
            return
        now_s = self._clock.monotonic_s()
        slowdown = self._slowness.reported(now_s)
        usual_ms = request.cost_ms * self._slowness.permanent(now_s)
        estimated_ms = usual_ms * self._elastic.factor(slowdown)
        self.errors.record(
            estimated_ms=estimated_ms, counted_ms=mean_ms, actual_ms=ran_ms
        )
        self._residual.record(ran_ms / estimated_ms)
        self._elastic.record(ran_ms / usual_ms, slowdown)
        self._slowness.record_ratio(
            ran_ms / request.cost_ms / self._elastic.factor(slowdown), now_s
        )

    def backlog_ms(self) -> int:
        """Returns the work that is left, at the usual speed with one slot.

        It is 0 if callers send no estimates.
        """
        if not self.errors.has_samples:
            return 0
        now_s = self._clock.monotonic_s()
        factor = self._factor()
        left_ms = 0.0
        for call in self._calls.values():
            if call.started_s is None or call.work_ms <= 0:
                left_ms += call.work_ms
                continue
            elapsed_ms = (now_s - call.started_s) * MS_PER_S
            ratio = elapsed_ms / factor / call.work_ms
            left_ms += call.work_ms * self._residual.remaining(ratio)
        return round(left_ms)

    def _factor(self) -> float:
        """Returns the time of a call as a multiple of its work."""
        now_s = self._clock.monotonic_s()
        slowdown = self._slowness.reported(now_s)
        return self._slowness.permanent(now_s) * self._elastic.factor(slowdown)
