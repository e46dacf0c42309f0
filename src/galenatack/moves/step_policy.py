"""Decides the next state of a move from the evidence and the time."""

from galenatack.messages import withdraw
from galenatack.model import move_phase
from galenatack.model import move_policy
from galenatack.model import move_state
from galenatack.moves import evaluator as evaluator_module
from galenatack.moves import plan
from galenatack.moves import route_verdict

# The verdict is first attempted this long before its latest time: enough for a
# lease to expire (5 s), for the next rank to take it over (1 s) and for some
# retries.
VERDICT_LEAD_MS = 15_000
LOW_TRAFFIC_DONE = "done"
MIN_EVIDENCE_LOG = -1_000_000.0


def decide(
    move: move_state.MoveState,
    *,
    policy: move_policy.MovePolicy,
    evaluator: evaluator_module.Evaluator,
    withdrawn: withdraw.Withdraw | None,
    now_ms: int,
    step_since_ms: int,
    is_fresh: bool,
    target_count: int,
) -> move_state.MoveState | None:
    """Returns the next state of a running move, or None to wait.

    Args:
        move: Current state.
        policy: Policy of the profile.
        evaluator: Evidence so far.
        withdrawn: Withdrawal of the new version, if any.
        now_ms: Wall clock.
        step_since_ms: Wall clock when the current step was first seen.
        is_fresh: True when evidence was evaluated recently.
        target_count: Live targets of the new version.
    """
    if withdrawn is not None:
        return _taken_back(move, policy, evaluator, withdrawn.reason)
    if now_ms >= move.by_ms:
        reason = "no verdict was written by the promised time"
        return _taken_back(move, policy, evaluator, reason)
    latest_ms = move.by_ms - plan.VERDICT_MARGIN_MS
    if now_ms > latest_ms:
        return None
    is_clear = is_fresh and evaluator.is_clear(step=move.step)
    if now_ms >= latest_ms - VERDICT_LEAD_MS:
        return _final_state(move, policy, evaluator, is_clear=is_clear)
    if not is_clear:
        return None
    return _step_up(
        move,
        evaluator,
        now_ms=now_ms,
        since_ms=step_since_ms,
        target_count=target_count,
    )


def _step_up(
    move: move_state.MoveState,
    evaluator: evaluator_module.Evaluator,
    *,
    now_ms: int,
    since_ms: int,
    target_count: int,
) -> move_state.MoveState | None:
    """Returns the next step, if the current one has lasted long enough.

    The last step begins late, because at full share few calls of the old
    version remain for comparison.
    """
    dwell_ms = plan.dwell_ms(started_ms=move.started_ms, by_ms=move.by_ms)
    last_step = len(plan.STEPS_PERMILLE) - 1
    step = move.step + 1
    if step > last_step or now_ms - since_ms < dwell_ms:
        return None
    decide_ms = move.by_ms - plan.VERDICT_MARGIN_MS - VERDICT_LEAD_MS
    if step == last_step and now_ms < decide_ms - dwell_ms:
        return None
    share_permille = plan.STEPS_PERMILLE[step]
    return move._replace(
        step=step,
        share_permille=share_permille,
        active_targets=plan.active_targets(share_permille, target_count),
        figures=figures(evaluator),
    )


def figures(
    evaluator: evaluator_module.Evaluator,
) -> tuple[tuple[str, float], ...]:
    """Returns the figures of each route, for status and verdict."""
    result = []
    for verdict in evaluator.verdicts():
        result.append((f"{verdict.route}.calls", float(verdict.new_calls)))
        result.append((f"{verdict.route}.errors", float(verdict.new_errors)))
        # Without calls the logarithm is -inf, which JSON cannot encode.
        evidence = max(MIN_EVIDENCE_LOG, verdict.evidence_log)
        result.append((f"{verdict.route}.evidence", evidence))
    return tuple(result)


def _final_state(
    move: move_state.MoveState,
    policy: move_policy.MovePolicy,
    evaluator: evaluator_module.Evaluator,
    *,
    is_clear: bool,
) -> move_state.MoveState:
    if is_clear:
        return _done(move, policy, evaluator, "every route is clear")
    if evaluator.is_suspected():
        reason = "a route is suspected at the time of the verdict"
        return _taken_back(move, policy, evaluator, reason)
    unclear_routes = ", ".join(
        verdict.route
        for verdict in evaluator.verdicts(step=move.step)
        if verdict.judgement != route_verdict.Judgement.CLEAR
    )
    reason = f"not enough evidence on {unclear_routes or 'any route'}"
    if policy.on_low_traffic == LOW_TRAFFIC_DONE:
        return _done(move, policy, evaluator, reason)
    return _taken_back(move, policy, evaluator, reason)


def _done(
    move: move_state.MoveState,
    policy: move_policy.MovePolicy,
    evaluator: evaluator_module.Evaluator,
    reason: str,
) -> move_state.MoveState:
    return move._replace(
        phase=str(move_phase.MovePhase.DONE),
        share_permille=plan.STEPS_PERMILLE[-1],
        active_targets=0,
        reason=reason,
        figures=figures(evaluator),
        warm_until_ms=move.by_ms + policy.warm_ms,
    )


def _taken_back(
    move: move_state.MoveState,
    policy: move_policy.MovePolicy,
    evaluator: evaluator_module.Evaluator,
    reason: str,
) -> move_state.MoveState:
    return move._replace(
        phase=str(move_phase.MovePhase.TAKEN_BACK),
        share_permille=0,
        reason=reason,
        figures=figures(evaluator),
        warm_until_ms=move.by_ms + policy.warm_ms,
    )
