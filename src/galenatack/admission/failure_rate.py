"""Moving average of the share of calls that fail."""

SMOOTHING = 0.05
"""Weight of the latest call: the average covers about twenty calls."""

PERMILLE = 1000


class FailureRate:
    """Share of recent calls that failed."""

    def __init__(self):
        self._share = 0.0

    def record(self, *, has_failed: bool) -> None:
        """Adds one call."""
        self._share += SMOOTHING * (has_failed - self._share)

    @property
    def permille(self) -> int:
        """The share in thousandths."""
        return round(self._share * PERMILLE)

    def reset(self) -> None:
        """Resets the share to zero, for a new target."""
        self._share = 0.0
