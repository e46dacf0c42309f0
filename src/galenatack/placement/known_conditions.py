"""What targets have said about themselves to the callers of this node."""

import collections

from galenatack.model import member_record
from galenatack.model import target_condition

MAX_TARGETS = 8192
"""Number of targets that are remembered, about twice the largest fleet."""

_Identity = tuple[str, int]


class KnownConditions:
    """Latest condition of each target, from the reports in its answers.

    The gate of a target acts on its condition. A restarted gate knows nothing
    of it, so callers keep what they have seen: they tell the gate of a limit,
    and send nothing more to a target that was leaving.
    """

    def __init__(self):
        self._conditions: collections.OrderedDict[
            _Identity, target_condition.TargetCondition
        ] = collections.OrderedDict()

    def record(
        self,
        member: member_record.MemberRecord,
        condition: target_condition.TargetCondition,
    ) -> None:
        """Records the condition that a target's answer came with.

        A target that was leaving stays so until it starts again.
        """
        # Its load changes with each answer and is kept in the view of its gate.
        condition = condition._replace(load=None)
        if not self._conditions and condition == target_condition.NORMAL:
            return
        identity = _identity(member)
        if self.is_leaving(member):
            condition = condition._replace(is_leaving=True)
        self._conditions.pop(identity, None)
        if condition == target_condition.NORMAL:
            return
        self._conditions[identity] = condition
        if len(self._conditions) > MAX_TARGETS:
            self._conditions.popitem(last=False)

    def is_leaving(self, member: member_record.MemberRecord) -> bool:
        """Returns whether the target of a node was leaving."""
        return self._known(member).is_leaving

    def rate_limit_per_s(
        self, member: member_record.MemberRecord
    ) -> float | None:
        """Returns the last known rate limit of a target, if any."""
        return self._known(member).rate_limit_per_s

    def _known(
        self, member: member_record.MemberRecord
    ) -> target_condition.TargetCondition:
        return self._conditions.get(_identity(member), target_condition.NORMAL)


def _identity(member: member_record.MemberRecord) -> _Identity:
    return (member.target_id, member.target_born_ms)
