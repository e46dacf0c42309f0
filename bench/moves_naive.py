"""Naive rules for the same cases: fixed steps and the total error rate."""

import random

from bench import moves_cases
from bench import moves_result
from bench import moves_world

STEP_S = 0.1
SHARES = (0.05, 0.25, 0.5, 1.0)
MAX_ERROR_RATE = 0.05
WINDOW_S = 10.0
MIN_CALLS = 20
VERDICT_MARGIN_S = 10.0


class _Rule:
    """One run of the rule."""

    def __init__(self, case: moves_cases.Case, *, is_relative: bool):
        self.calls = 0
        self.fault_calls = 0
        self.first_fault_s = -1.0
        self.last_new_s = -1.0
        self._is_relative = is_relative
        self._world = moves_world.World(case)
        self._rng = random.Random(case.seed * 3 + 2)
        self._recent: list[tuple[float, int, int, int, int]] = []

    def step(self, now_s: float, share: float) -> str:
        """Runs the calls of one step; returns a reason to take back, or ""."""
        counts = {"v1": [0, 0], "v2": [0, 0]}
        for _ in range(self._world.calls_in(now_s, STEP_S)):
            self._call(now_s, share, counts)
        self._recent.append((now_s, *counts["v2"], *counts["v1"]))
        self._recent = [
            item for item in self._recent if item[0] > now_s - WINDOW_S
        ]
        total, errors, old_total, old_errors = (
            sum(item[column] for item in self._recent) for column in range(1, 5)
        )
        limit = MAX_ERROR_RATE
        if self._is_relative:
            limit += old_errors / max(1, old_total)
        if total >= MIN_CALLS and errors > total * limit:
            return f"{errors} of {total} calls failed"
        return ""

    def _call(
        self, now_s: float, share: float, counts: dict[str, list[int]]
    ) -> None:
        self.calls += 1
        version = "v2" if self._rng.random() < share else "v1"
        target = self._rng.randrange(len(moves_world.DATA_CENTRES))
        outcome = self._world.call(now_s, version, target, self._world.route())
        if outcome is None:
            return
        counts[version][0] += 1
        counts[version][1] += outcome.is_error
        if version == "v2":
            self.last_new_s = now_s
        if outcome.met_fault:
            self.fault_calls += 1
            if self.first_fault_s < 0:
                self.first_fault_s = now_s


def run(
    case: moves_cases.Case, *, is_relative: bool = False
) -> moves_result.Result:
    """Raises the share at fixed times; takes back above 5% errors in 10 s.

    Args:
        case: The case.
        is_relative: Whether the limit is 5% above the old version's rate.
    """
    rule = _Rule(case, is_relative=is_relative)
    end_s = case.duration_s - VERDICT_MARGIN_S
    now_s, reason = 0.0, ""
    for number in range(1, int(end_s / STEP_S) + 1):
        now_s = number * STEP_S
        step = min(len(SHARES) - 1, int(now_s / end_s * len(SHARES)))
        reason = rule.step(now_s, SHARES[step])
        if reason:
            break
    return moves_result.Result(
        case,
        "taken_back" if reason else "done",
        now_s,
        rule.calls,
        rule.fault_calls,
        rule.first_fault_s,
        now_s if reason else -1.0,
        rule.last_new_s,
        now_s if reason else -1.0,
        reason,
        not reason,
    )
