"""Share of the time of calls that grows with the slowdown of the target."""

PRIOR_WEIGHT = 5.0
"""As much as five calls at twice the usual time; until then all of the time is
taken for work of the target."""

DECAY = 0.995
MAX_RATIO = 10.0


class ElasticShare:
    """Share of the time of calls that grows with the slowdown of the target.

    A call's time includes waits for calls that its target makes; a slow
    machine does not prolong them. They can't be told apart in one call, but a
    linear regression of time over slowdown shows their share.
    """

    def __init__(self):
        self._products = PRIOR_WEIGHT
        self._squares = PRIOR_WEIGHT

    @property
    def share(self) -> float:
        """The share, from 0 to 1."""
        return min(1.0, max(0.0, self._products / self._squares))

    def factor(self, slowdown: float) -> float:
        """Returns the factor on the time of a call at a slowed target."""
        return 1.0 + self.share * (slowdown - 1.0)

    def record(self, ratio: float, slowdown: float) -> None:
        """Adds a call.

        Args:
            ratio: Its time as a multiple of the usual there.
            slowdown: The slowdown of its target at that time.
        """
        excess = slowdown - 1.0
        self._products = DECAY * self._products + (1 - DECAY) * PRIOR_WEIGHT
        self._squares = DECAY * self._squares + (1 - DECAY) * PRIOR_WEIGHT
        self._products += excess * (min(ratio, MAX_RATIO) - 1.0)
        self._squares += excess * excess
