"""The final answer to a call."""

import typing

from galenatack.model import call_result
from galenatack.model import gate_report


class CallAnswer(typing.NamedTuple):
    """The final answer to a call.

    Attributes:
        call_id: Identifier of the call.
        result: The answer.
        report: Load of the inbound gate that answers, if it is reported.
    """

    call_id: str
    result: call_result.CallResult
    report: gate_report.GateReport | None = None
