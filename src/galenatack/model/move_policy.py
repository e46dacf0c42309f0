"""How moves of a service are judged."""

import typing


class MovePolicy(typing.NamedTuple):
    """How moves of a service are judged.

    Attributes:
        on_low_traffic: `take_back` or `done`: the verdict when a route
            lacks evidence at the promised time.
        min_calls_per_route: Calls on the new version before a route can
            clear a step.
        error_margin_permille: Errors above the old version that a step
            tolerates.
        latency_ratio_permille: Latency against the old version that a
            step tolerates.
        warm_ms: How long the old version stays warm after the promised
            time.
    """

    on_low_traffic: str = "take_back"
    min_calls_per_route: int = 30
    error_margin_permille: int = 20
    latency_ratio_permille: int = 1500
    warm_ms: int = 60_000
