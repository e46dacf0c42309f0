"""Interface by which placement asks for expected answer times."""

import typing

from galenatack.estimates import gate_load
from galenatack.estimates import request_cost


class Predictor(typing.Protocol):
    """Expects the times to the answers of targets."""

    def times_ms(
        self,
        view: gate_load.GateLoad,
        cost: request_cost.RequestCost,
        *,
        slots: int,
        now_s: float,
    ) -> tuple[float, float]:
        """Returns the expected wait at a gate and time at its target."""
