"""Load of one target as seen by the outbound side."""

import dataclasses

MIN_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
_MIN_LIMIT = 1.0
_LIMIT_DECREASE_FACTOR = 0.5
# Calls that were sent before a decrease are refused as well; without a pause,
# they would decrease the limit to 1.
_LIMIT_DECREASE_INTERVAL_S = 0.1
_MIN_WEIGHT = 0.1
# The slots and as many queue entries, which an idle gate accepts at once.
_LIMIT_PER_SLOT = 2.0


@dataclasses.dataclass(slots=True)
class TargetLoad:
    """Load of one target, based on this node's calls only.

    Attributes:
        incarnation: Incarnation that these figures belong to.
        first_seen_s: Monotonic time at which the target was first seen.
        max_limit: Upper bound of the limit.
        limit: Maximum number of calls in flight.
        in_flight: Number of calls in flight.
        failures: Number of consecutive connect failures.
        ejected_until_s: Monotonic time until which the target gets no calls.
        last_decrease_s: Monotonic time of the last decrease of the limit.
    """

    incarnation: int
    first_seen_s: float
    max_limit: float
    limit: float
    in_flight: int = 0
    failures: int = 0
    ejected_until_s: float = 0.0
    last_decrease_s: float = float("-inf")

    @classmethod
    def initial(
        cls, *, incarnation: int, now_s: float, slots: int
    ) -> "TargetLoad":
        """Returns the load of a target that was seen for the first time."""
        max_limit = max(_MIN_LIMIT, slots * _LIMIT_PER_SLOT)
        return cls(incarnation, now_s, max_limit, max_limit)

    def weight(self, now_s: float, slow_start_s: float) -> float:
        """Returns the slow start weight, from 0.1 to 1."""
        if slow_start_s <= 0:
            return 1.0
        ramp = (now_s - self.first_seen_s) / slow_start_s
        return min(1.0, max(_MIN_WEIGHT, ramp))

    def has_room(self) -> bool:
        """Returns whether the limit allows another call."""
        return self.in_flight < int(self.limit)

    def on_success(self) -> None:
        """Raises the limit by 1 for each full window of successes."""
        self.failures = 0
        self.ejected_until_s = 0.0
        self.limit = min(self.max_limit, self.limit + 1.0 / self.limit)

    def on_overload(self, now_s: float) -> None:
        """Halves the limit once for all refusals within a round trip."""
        if now_s - self.last_decrease_s < _LIMIT_DECREASE_INTERVAL_S:
            return
        self.last_decrease_s = now_s
        self.limit = max(_MIN_LIMIT, self.limit * _LIMIT_DECREASE_FACTOR)

    def on_connect_failure(self, now_s: float) -> None:
        """Ejects the target; the time doubles with each failure."""
        backoff_s = MIN_EJECTION_S * 2**self.failures
        self.ejected_until_s = now_s + min(MAX_EJECTION_S, backoff_s)
        self.failures += 1
