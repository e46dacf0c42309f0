"""What the outbound side knows about the load of one target."""

import dataclasses

FIRST_EJECTION_S = 1.0
LONGEST_EJECTION_S = 30.0
_LEAST_LIMIT = 1.0
_LIMIT_CUT = 0.5
# Calls that were sent before a cut are refused as well; without a pause they
# would take the limit down to 1.
_CUT_INTERVAL_S = 0.1
_LEAST_WEIGHT = 0.1
# Slots and as many queue entries: what an idle gate takes at once.
_LIMIT_PER_SLOT = 2.0


@dataclasses.dataclass(slots=True)
class TargetLoad:
    """Load of one target, from this node's own calls only.

    Attributes:
        incarnation: Incarnation that these figures belong to.
        first_seen_s: Monotonic time when the target was first seen.
        max_limit: Upper bound of the limit.
        limit: Calls that may be in flight.
        in_flight: Calls in flight.
        failures: Connect failures in a row.
        ejected_until_s: Monotonic time until when it gets no calls.
        cut_s: Monotonic time of the last cut of the limit.
    """

    incarnation: int
    first_seen_s: float
    max_limit: float
    limit: float
    in_flight: int = 0
    failures: int = 0
    ejected_until_s: float = 0.0
    cut_s: float = float("-inf")

    @classmethod
    def initial(
        cls, *, incarnation: int, now_s: float, slots: int
    ) -> "TargetLoad":
        """Returns the load of a target that has just been seen."""
        max_limit = max(_LEAST_LIMIT, slots * _LIMIT_PER_SLOT)
        return cls(incarnation, now_s, max_limit, max_limit)

    def weight(self, now_s: float, slow_start_s: float) -> float:
        """Returns the share of the full weight, from 0.1 up to 1."""
        if slow_start_s <= 0:
            return 1.0
        ramp = (now_s - self.first_seen_s) / slow_start_s
        return min(1.0, max(_LEAST_WEIGHT, ramp))

    def has_room(self) -> bool:
        """Tells whether the limit allows another call."""
        return self.in_flight < int(self.limit)

    def on_success(self) -> None:
        """Grows the limit by 1 for each window of successes."""
        self.failures = 0
        self.ejected_until_s = 0.0
        self.limit = min(self.max_limit, self.limit + 1.0 / self.limit)

    def on_overload(self, now_s: float) -> None:
        """Halves the limit, once for all refusals of one round trip."""
        if now_s - self.cut_s < _CUT_INTERVAL_S:
            return
        self.cut_s = now_s
        self.limit = max(_LEAST_LIMIT, self.limit * _LIMIT_CUT)

    def on_connect_failure(self, now_s: float) -> None:
        """Ejects the target, twice as long after each failure."""
        backoff_s = FIRST_EJECTION_S * 2**self.failures
        self.ejected_until_s = now_s + min(LONGEST_EJECTION_S, backoff_s)
        self.failures += 1
