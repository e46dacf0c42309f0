"""What one request is expected to cost."""

from galenatack.estimates import request_features


class RequestCost:
    """What one request is expected to cost.

    Args:
        features: What is seen of the request.
        route: Name of its route.
        group: Name of the targets that may run it, for errors.
        work_ms: Expected work; 0 if it is not known.
        is_used: Whether targets are chosen by it.

    Attributes:
        features: What is seen of the request.
        route: Name of its route.
        group: Name of the targets that may run it, for errors.
        work_ms: Expected work; 0 if it is not known.
        is_used: Whether targets are chosen by it.
        label: Name of its class, for people.
        estimated_ms: Time to the answer of the chosen target, by estimates.
        counted_ms: The same by counting.
        slots: Slots of the target.
        slowdown: Reported slowdown of the chosen target when it was chosen.
    """

    __slots__ = (
        "counted_ms",
        "estimated_ms",
        "features",
        "group",
        "is_used",
        "label",
        "route",
        "slots",
        "slowdown",
        "work_ms",
    )

    def __init__(
        self,
        features: request_features.RequestFeatures,
        *,
        route: str,
        group: str,
        work_ms: float = 0.0,
        is_used: bool = False,
    ):
        self.features = features
        self.route = route
        self.group = group
        self.work_ms = work_ms
        self.is_used = is_used
        self.label = ""
        self.estimated_ms = 0.0
        self.counted_ms = 0.0
        self.slots = 1
        self.slowdown = 1.0
