"""Limits the share of calls that a version on trial gets."""

from galenatack.model import rollout_phase

_Phase = rollout_phase.RolloutPhase

SHIFT_SHARE = 0.4
"""Share in the short phase before all traffic moves: the new targets get load
before the old ones lose theirs."""

EXTRA_CALLS = 1.0
"""Calls beyond the share, which let a node send its first call to the new
version at once. Over all nodes, they stay below the slack of the exposure
bound."""


class TrialShare:
    """Counts the calls of each order and limits the share of the new version.

    The counts are cumulative: a burst of calls cannot exceed the bound on all
    calls between the order and its end.

    Args:
        trial_share: Share of the calls during the trial.
    """

    def __init__(self, *, trial_share: float):
        self._shares = {
            _Phase.TRIAL: trial_share,
            _Phase.SHIFT: SHIFT_SHARE,
            _Phase.ALL: 1.0,
        }
        self._counts: dict[tuple[int, str], list[float]] = {}

    def admits(self, order_revision: int, phase: str) -> bool:
        """Counts a call and returns whether it goes to the new version."""
        share = self._shares.get(_Phase(phase), 0.0)
        counts = self._counts.setdefault((order_revision, phase), [0.0, 0.0])
        counts[0] += 1
        if share < 1.0 and counts[1] + 1 > share * counts[0] + EXTRA_CALLS:
            return False
        counts[1] += 1
        return True

    def retain_only(self, order_revisions: set[int]) -> None:
        """Removes the counts of all other orders."""
        for key in [k for k in self._counts if k[0] not in order_revisions]:
            del self._counts[key]
