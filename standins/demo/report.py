"""Prints the results of the demo and lists what failed."""

from standins.demo import deployment as deployment_module
from standins.demo import scenario

CONVERGENCE_LIMIT_MS = 5_000
LEAVE_LIMIT_MS = 3_000


def show(
    deployment: deployment_module.Deployment,
    outcome: scenario.Outcome,
    folder: str,
) -> list[str]:
    """Prints the figures and returns the problems, one sentence each."""
    worst = max((change.converged_ms for change in outcome.changes), default=0)
    print(f"\n{deployment.name}")
    for service, (phase, reason) in outcome.verdicts.items():
        print(f"  move of {service}: {phase}: {reason}")
    print(
        f"  convergence: {len(outcome.changes)} changes, worst {worst} ms"
        f" (limit {CONVERGENCE_LIMIT_MS} ms)"
    )
    rates = outcome.rates
    print(
        f"  control: {rates.node_bytes_per_s:.0f} B/s a node (both ways),"
        f" {rates.worst_node_bytes_per_s:.0f} B/s sent by the busiest,"
        f" {rates.crossing_bytes_per_s:.0f} B/s across the region boundary"
    )
    for service, summary in outcome.callers.items():
        print(
            f"  callers of {service}: {summary['calls']} calls,"
            f" {summary['outcomes']}, wrong answers {summary['wrong']},"
            f" latency {summary['latency_ms']} ms"
        )
    print(f"  postings run twice: {outcome.repeated}")
    print(
        f"  graceful stop: node exit status {outcome.node_status}, last call"
        f" started {outcome.late_ms} ms after the target left"
    )
    print(f"  time line: {folder}/timeline.svg, {folder}/timeline.txt")
    return outcome.problems + _problems(deployment, outcome, worst)


def _problems(
    deployment: deployment_module.Deployment,
    outcome: scenario.Outcome,
    worst: int,
) -> list[str]:
    problems = []
    if outcome.verdicts[deployment.good_move][0] != "done":
        problems.append("the good version's move did not end in done")
    if outcome.verdicts[deployment.bad_move][0] != "taken_back":
        problems.append("the bad version was not taken back")
    if worst > CONVERGENCE_LIMIT_MS:
        problems.append(f"a change took {worst} ms to be in force everywhere")
    if outcome.repeated:
        problems.append(f"{outcome.repeated} postings ran twice")
    if outcome.node_status != 0:
        problems.append(f"the stopped node exited with {outcome.node_status}")
    if outcome.late_ms > LEAVE_LIMIT_MS:
        problems.append("a leaving target got work after 3 s")
    problems += _caller_problems(outcome)
    return problems


def _caller_problems(outcome: scenario.Outcome) -> list[str]:
    problems = []
    for service, summary in outcome.callers.items():
        if summary["wrong"]:
            problems.append(f"{service}: {summary['wrong']} wrong answers")
        if not any(name.endswith("answer") for name in summary["outcomes"]):
            problems.append(f"{service}: no call was answered")
    return problems
