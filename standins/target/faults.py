"""Switchable faults of the stand-in target."""

import typing


class Faults(typing.NamedTuple):
    """Faults as switched by `POST /_target/faults`.

    Attributes:
        error_permille: Share of calls that answer 500.
        slow_ms: Time added to each call.
        route: Path prefix of the calls that fail; empty means all.
        after_s: Time after the switch when the fault begins.
        above_in_flight: Calls in flight above which the fault shows.
    """

    error_permille: int = 0
    slow_ms: float = 0.0
    route: str = ""
    after_s: float = 0.0
    above_in_flight: int = 0

    def applies(self, *, path: str, since_s: float, in_flight: int) -> bool:
        """Tells whether the fault shows on a call."""
        return (
            path.startswith(self.route)
            and since_s >= self.after_s
            and in_flight > self.above_in_flight
        )
