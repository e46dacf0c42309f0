"""Injectable faults of the stand-in target."""

import typing


class Faults(typing.NamedTuple):
    """Faults set by `POST /_target/faults`.

    Attributes:
        error_permille: Calls per thousand that answer 500.
        slow_ms: Latency added to each call.
        route: Path prefix of the affected calls; empty for all.
        after_s: Delay until the faults take effect.
        above_in_flight: Faults apply only above this number of calls in flight.
    """

    error_permille: int = 0
    slow_ms: float = 0.0
    route: str = ""
    after_s: float = 0.0
    above_in_flight: int = 0

    def applies(self, *, path: str, since_s: float, in_flight: int) -> bool:
        """Returns whether the faults apply to a call."""
        return (
            path.startswith(self.route)
            and since_s >= self.after_s
            and in_flight > self.above_in_flight
        )
