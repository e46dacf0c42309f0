"""Naive rules on the same cases: fixed steps and the total error rate."""

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


def run(
    case: moves_cases.Case, *, is_relative: bool = False
) -> moves_result.Result:
    """Steps up at fixed times; takes back above 5% errors over 10 s.

    Args:
        case: The case.
        is_relative: True for 5% above the old version's rate.
    """
    world = moves_world.World(case)
    rng = random.Random(case.seed * 3 + 2)
    calls = fault_calls = 0
    first_fault_s = last_new_s = -1.0
    recent: list[tuple[float, int, int, int, int]] = []
    end_s = case.duration_s - VERDICT_MARGIN_S
    for step in range(int(end_s / STEP_S)):
        now_s = (step + 1) * STEP_S
        share = SHARES[min(3, int(now_s / end_s * len(SHARES)))]
        new_calls = new_errors = old_calls = old_errors = 0
        for _ in range(world.calls_in(now_s, STEP_S)):
            calls += 1
            version = "v2" if rng.random() < share else "v1"
            target = rng.randrange(len(moves_world.DATA_CENTRES))
            outcome = world.call(now_s, version, target, world.route())
            if outcome is None:
                continue
            if version == "v1":
                old_calls += 1
                old_errors += outcome.is_error
                continue
            last_new_s = now_s
            new_calls += 1
            new_errors += outcome.is_error
            if outcome.met_fault:
                fault_calls += 1
                first_fault_s = now_s if first_fault_s < 0 else first_fault_s
        recent.append((now_s, new_calls, new_errors, old_calls, old_errors))
        recent = [item for item in recent if item[0] > now_s - WINDOW_S]
        total = sum(item[1] for item in recent)
        errors = sum(item[2] for item in recent)
        limit = MAX_ERROR_RATE
        if is_relative:
            old_total = sum(item[3] for item in recent)
            limit += sum(item[4] for item in recent) / max(1, old_total)
        if total >= MIN_CALLS and errors > total * limit:
            return moves_result.Result(
                case,
                "taken_back",
                now_s,
                calls,
                fault_calls,
                first_fault_s,
                now_s,
                last_new_s,
                now_s,
                f"{errors} of {total} calls failed",
                False,
            )
    return moves_result.Result(
        case,
        "done",
        end_s,
        calls,
        fault_calls,
        first_fault_s,
        -1.0,
        last_new_s,
        -1.0,
        "fixed steps are over",
        True,
    )
