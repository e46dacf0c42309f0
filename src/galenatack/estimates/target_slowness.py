"""How long work takes at one target, as a multiple of the usual."""

import math

from galenatack.model import target_load

FADE_S = 0.3
"""Time constant with which a reported slowdown fades to 1.0. Machines change
their speed many times a second and are slow for about 0.6 s: after that time a
figure weighs an eighth, and the target is tried again."""

REPORT_SMOOTHING = 0.5
"""Weight of the latest figure: single ones vary from call to call, and three
answers show seven eighths of a change."""

RATIO_SMOOTHING = 0.02
PRIOR_RATIOS = 25.0
"""As much as 25 calls at the usual speed: the times of single calls differ by
more than the targets do."""

FORGET_S = 60.0
"""Time constant with which the permanent slowness fades without calls: a target
that was taken for slow by chance gets none that would show otherwise."""

ANCHOR = 0.001
"""Pull toward the usual speed with each call, which keeps the speeds of all
targets and the estimates of all classes from drifting together. It hides a
twentieth of a difference."""

MAX_RATIO = 4.0
"""Bounds what one call that is no longer like its class may tell."""

MIN_SLOWDOWN = 0.1
MAX_SLOWDOWN = 20.0
"""A report comes from another process and may say anything."""


class TargetSlowness:
    """How long work takes at one target, as a multiple of the usual.

    The target reports its slowdown of this moment; its times show how slow it
    is permanently.

    Attributes:
        has_reported: Whether the target has reported another figure than 1.0.
    """

    __slots__ = (
        "_learned_s",
        "_ratio",
        "_ratios",
        "_reported",
        "_reported_s",
        "has_reported",
    )

    def __init__(self):
        self.has_reported = False
        self._reported = 1.0
        self._reported_s = -math.inf
        self._ratio = 1.0
        self._learned_s = -math.inf
        self._ratios = PRIOR_RATIOS

    def permanent(self, now_s: float) -> float:
        """Returns the permanent slowness, 1.0 for the usual speed."""
        age_s = max(0.0, now_s - self._learned_s)
        return 1.0 + (self._ratio - 1.0) * math.exp(-age_s / FORGET_S)

    def reported(self, now_s: float) -> float:
        """Returns the reported slowdown, faded by its age."""
        if self._reported == 1.0:
            return 1.0
        age_s = max(0.0, now_s - self._reported_s)
        return 1.0 + (self._reported - 1.0) * math.exp(-age_s / FADE_S)

    def apply_load(self, load: target_load.TargetLoad, now_s: float) -> None:
        """Applies a report of the target."""
        slowdown = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, load.slowdown))
        known = self.reported(now_s)
        self._reported = known + REPORT_SMOOTHING * (slowdown - known)
        self._reported_s = now_s
        if load.slowdown != 1.0:
            self.has_reported = True

    def record_ratio(self, ratio: float, now_s: float) -> None:
        """Adds a call.

        Args:
            ratio: Its time as a multiple of what it takes at a target of the
                usual speed at the reported slowdown.
            now_s: The time.
        """
        self._ratio = self.permanent(now_s)
        self._learned_s = now_s
        self._ratios = min(self._ratios + 1, 1 / RATIO_SMOOTHING)
        weight = 1.0 / self._ratios
        self._ratio += weight * (min(MAX_RATIO, ratio) - self._ratio)
        self._ratio += ANCHOR * (1.0 - self._ratio)
