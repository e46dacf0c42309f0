"""What a target says about itself beside an answer."""

import typing

from galenatack.model import target_load


class TargetCondition(typing.NamedTuple):
    """What a target says about itself beside an answer.

    Attributes:
        rate_limit_per_s: Calls per second that the target takes from all nodes
            together; None without a limit.
        is_leaving: True if the target is about to leave.
        load: Load that the target reported; None without a report.
    """

    rate_limit_per_s: float | None = None
    is_leaving: bool = False
    load: target_load.TargetLoad | None = None


NORMAL = TargetCondition()
