"""What estimates need of a view of a gate."""

import typing

from galenatack.estimates import target_work


class GateLoad(typing.Protocol):
    """Load of a gate as seen from a caller's node.

    `placement.gate_view.GateView` satisfies it; placement uses estimates, not
    the other way round.
    """

    work: target_work.TargetWork

    def calls(self, now_s: float) -> float:
        """Returns the expected number of calls at the gate now."""

    def usable_slots(
        self, slots: int, service_ms: float, now_s: float
    ) -> float:
        """Returns how many slots the rate limits let the target use."""
