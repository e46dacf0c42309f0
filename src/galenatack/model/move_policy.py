"""Policy by which moves of a service are judged."""

import typing


class MovePolicy(typing.NamedTuple):
    """Policy by which moves of a service are judged.

    Attributes:
        on_low_traffic: `take_back` or `done`: the verdict if a route lacks
            evidence at the promised time.
        min_calls_per_route: Minimum number of calls on the new version before
            a route can clear a step.
        error_margin_permille: Tolerated increase of the error rate over the
            old version.
        latency_ratio_permille: Tolerated ratio of the latency to that of the
            old version.
        warm_ms: Time that the old version stays warm after the promised time.
    """

    on_low_traffic: str = "take_back"
    min_calls_per_route: int = 30
    error_margin_permille: int = 20
    latency_ratio_permille: int = 1500
    warm_ms: int = 60_000
