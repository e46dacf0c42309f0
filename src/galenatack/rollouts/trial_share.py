"""Limits the share of calls that a version on trial gets."""

import dataclasses

from galenatack.model import rollout_phase
from galenatack.rollouts import trial_bursts

_Phase = rollout_phase.RolloutPhase

SHIFT_SHARE = 0.4
"""Share in the short phase before all traffic moves: the new targets get load
before the old ones lose theirs."""

EXTRA_CALLS = 1.0
"""Calls beyond the share, which let a node send its first call to the new
version at once. Over all nodes, they stay below the slack of the exposure
bound."""


@dataclasses.dataclass(slots=True)
class _Counts:
    calls: int = 0
    admitted: int = 0

    def has_room(self, share: float) -> bool:
        return self.admitted + 1 <= share * self.calls + EXTRA_CALLS


class TrialShare:
    """Counts the calls of each order and limits the share of the new version.

    The counts are cumulative: a burst of calls cannot exceed the bound on all
    calls between the order and its end. Calls on trial go out in the bursts of
    `trial_bursts`.

    Args:
        trial_share: Share of the calls during the trial.

    Attributes:
        trial_share: The same.
    """

    def __init__(self, *, trial_share: float):
        self._shares = {
            _Phase.TRIAL: trial_share,
            _Phase.SHIFT: SHIFT_SHARE,
            _Phase.ALL: 1.0,
        }
        self.trial_share = trial_share
        self._counts: dict[tuple[int, str], _Counts] = {}

    def admits(
        self,
        order_revision: int,
        phase: str,
        burst: trial_bursts.TrialBurst | None,
    ) -> bool:
        """Counts a call and returns whether it goes to the new version.

        Args:
            order_revision: Revision of the order.
            phase: Phase of the order.
            burst: The current burst of the trial, if there is one.
        """
        share = self._shares.get(_Phase(phase), 0.0)
        allowed = [(self._counted(order_revision, phase), share)]
        if phase == _Phase.TRIAL:
            if burst is None:
                allowed[0][0].calls += 1
                return False
            counts = self._counted(order_revision, f"burst-{burst.number}")
            allowed.append((counts, burst.share))
        is_admitted = True
        for counts, limit in allowed:
            counts.calls += 1
            if limit < 1.0 and not counts.has_room(limit):
                is_admitted = False
        if is_admitted:
            for counts, _ in allowed:
                counts.admitted += 1
        return is_admitted

    def _counted(self, order_revision: int, name: str) -> "_Counts":
        return self._counts.setdefault((order_revision, name), _Counts())

    def retain_only(self, order_revisions: set[int]) -> None:
        """Removes the counts of all other orders."""
        for key in [k for k in self._counts if k[0] not in order_revisions]:
            del self._counts[key]
