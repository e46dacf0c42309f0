"""Interface by which placement asks for expected answer times."""

import typing

from galenatack.estimates import gate_load
from galenatack.estimates import request_cost


class Predictor(typing.Protocol):
    """Expects the times to the answers of targets."""

    def answer_ms(
        self,
        view: gate_load.GateLoad,
        cost: request_cost.RequestCost,
        *,
        slots: int,
        now_s: float,
    ) -> float:
        """Returns the expected time at a gate and its target."""
