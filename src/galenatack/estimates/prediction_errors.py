"""Running errors of two predictions, to choose the better one."""

SMOOTHING = 0.02
"""Half of an error comes from the last 35 calls, a few seconds of a busy
node."""

MIN_CALLS = 30
WORSE = 1.05
"""An estimate that is worse by this factor is given up; it is used again once
it is not worse at all, so noise does not switch it to and fro."""


class PredictionErrors:
    """Running errors of estimating and of counting, to choose the better one.

    Attributes:
        is_estimate_better: Whether the estimates may be used.
        estimated_ms: Mean error of the estimates.
        counted_ms: Mean error of counting.
    """

    def __init__(self):
        self.is_estimate_better = False
        self.estimated_ms = 0.0
        self.counted_ms = 0.0
        self._calls = 0

    @property
    def has_samples(self) -> bool:
        """Whether any call had both predictions."""
        return self._calls > 0

    def record(
        self, *, estimated_ms: float, counted_ms: float, actual_ms: float
    ) -> None:
        """Adds a call with both predictions of its time."""
        self._calls += 1
        weight = max(SMOOTHING, 1.0 / self._calls)
        self.estimated_ms += weight * (
            abs(estimated_ms - actual_ms) - self.estimated_ms
        )
        self.counted_ms += weight * (
            abs(counted_ms - actual_ms) - self.counted_ms
        )
        allowed = WORSE if self.is_estimate_better else 1.0
        self.is_estimate_better = (
            self._calls >= MIN_CALLS
            and self.estimated_ms <= allowed * self.counted_ms
        )
