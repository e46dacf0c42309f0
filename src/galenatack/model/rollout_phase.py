"""Phases of a rollout."""

import enum


class RolloutPhase(enum.StrEnum):
    """Phases of a rollout; the last two are final."""

    TRIAL = "trial"
    SHIFT = "shift"
    ALL = "all"
    DONE = "done"
    TAKEN_BACK = "taken-back"


FINAL = frozenset({RolloutPhase.DONE, RolloutPhase.TAKEN_BACK})
"""Phases after which a rollout has ended."""
