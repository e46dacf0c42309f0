"""How a service's targets behave after a start."""

import typing


class WarmUp(typing.NamedTuple):
    """How a service's targets behave after a start.

    Attributes:
        duration_ms: Time for which a target is cold after its start.
        rate_per_s: Requests per second that a cold target takes from all nodes
            together; 0 without a limit.
        probe_path: Path under which a target says for how long it stays cold;
            empty if it does not.
    """

    duration_ms: int = 0
    rate_per_s: float = 0.0
    probe_path: str = ""
