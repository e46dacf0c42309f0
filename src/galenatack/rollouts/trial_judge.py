"""Decides from the outcomes of two versions whether the new one is faulty."""

import collections
import collections.abc
import functools
import math

from galenatack.model import route_evidence
from galenatack.moves import latency_buckets

MIN_BAD_ANSWERS = 4
"""Minimum number of bad answers of one route for a fault."""

MIN_BAD_ANSWERS_OF_ONE = 3
RISK_OF_ONE = 0.02
"""Minimum number of bad answers and risk of a false positive for a single
target that confirms a fault of the version."""

MARGIN_BOTH_VERSIONS = 0.06
"""Accepted excess of the share of bad answers over the old version's while both
versions get calls. Ordinary disturbances make their targets differ by this
much."""

MARGIN_NEW_VERSION_ONLY = 0.15
"""The same once only the new version gets calls: a disturbance that would
affect both versions then appears in the new one alone. Faulty versions of the
users fail half of their calls."""

FALSE_POSITIVE_RISK = 0.0005
"""Probability of a false positive for a healthy version, for one evaluation of
a route; a rollout has about a hundred evaluations."""

SLOW_FACTOR = 4.0
"""An answer that takes this many times the old version's median is bad. Targets
of one service differ in speed by a factor of up to three."""

MIN_BASELINE_ANSWERS = 10
"""Minimum number of answers of the old version for a median."""

_Evidence = collections.abc.Iterable[route_evidence.RouteEvidence]
_EvidenceByGate = collections.abc.Mapping[str, _Evidence]


class _Tally:
    """Outcomes of one route."""

    def __init__(self):
        self.calls = 0
        self.errors = 0
        self.warm_calls = 0
        self.buckets: collections.Counter[int] = collections.Counter()

    def add(self, route_outcomes: route_evidence.RouteEvidence) -> None:
        self.calls += route_outcomes.calls
        self.errors += route_outcomes.errors
        self.warm_calls += route_outcomes.warm_calls
        self.buckets.update(dict(route_outcomes.latency_buckets))


def confirmed_fault(
    by_gate: _EvidenceByGate, version: str, *, targets: int
) -> str | None:
    """Returns why a version on trial is faulty, or None.

    The bursts of a trial go to one target at a time. If the version has
    several targets, at least two of them must show the fault: otherwise it is
    one of a single target.

    Args:
        by_gate: Outcomes of both versions, by the gate of the target.
        version: Version on trial.
        targets: Number of targets of that version.
    """
    everything = joined(by_gate)
    reason = fault(everything, version)
    if reason is None or targets <= 1:
        return reason
    old = [outcome for outcome in everything if outcome.version != version]
    confirming = sum(
        fault(
            [*old, *(o for o in outcomes if o.version == version)],
            version,
            min_bad_answers=MIN_BAD_ANSWERS_OF_ONE,
            risk=RISK_OF_ONE,
        )
        is not None
        for outcomes in by_gate.values()
    )
    return reason if confirming > 1 else None


def joined(by_gate: _EvidenceByGate) -> list[route_evidence.RouteEvidence]:
    """Returns the outcomes of all gates."""
    return [outcome for outcomes in by_gate.values() for outcome in outcomes]


def fault(
    evidence: _Evidence,
    version: str,
    *,
    is_alone: bool = False,
    min_bad_answers: int = MIN_BAD_ANSWERS,
    risk: float = FALSE_POSITIVE_RISK,
) -> str | None:
    """Returns why a version is faulty, or None if there is no evidence of it.

    Args:
        evidence: Outcomes of all gates and both versions.
        version: Version on trial.
        is_alone: Whether the old version gets no calls any more.
        min_bad_answers: Minimum number of bad answers for a fault.
        risk: Probability of a false positive for a healthy version.
    """
    is_excess = functools.partial(
        _is_excess, min_bad_answers=min_bad_answers, risk=risk
    )
    margin = MARGIN_NEW_VERSION_ONLY if is_alone else MARGIN_BOTH_VERSIONS
    new: dict[str, _Tally] = collections.defaultdict(_Tally)
    old: dict[str, _Tally] = collections.defaultdict(_Tally)
    for route_outcomes in evidence:
        tallies = new if route_outcomes.version == version else old
        tallies[route_outcomes.route].add(route_outcomes)
    total_new, total_old = _total(new), _total(old)
    reason = _compare("all", total_new, total_old, margin, is_excess)
    for route, tally in sorted(new.items()):
        if reason is not None:
            break
        # A route without calls of the old version is compared with the total
        # of the old version.
        baseline = old[route] if old[route].calls else total_old
        reason = _compare(route, tally, baseline, margin, is_excess)
    return reason


def _total(tallies: dict[str, _Tally]) -> _Tally:
    total = _Tally()
    for tally in tallies.values():
        total.calls += tally.calls
        total.errors += tally.errors
    return total


def _compare(
    route: str,
    new: _Tally,
    old: _Tally,
    margin: float,
    is_excess: collections.abc.Callable[[int, int, float], bool],
) -> str | None:
    old_share = old.errors / old.calls if old.calls else 0.0
    if is_excess(new.errors, new.calls, old_share + margin):
        return (
            f"route {route}: {new.errors} of {new.calls} calls failed,"
            f" {old.errors} of {old.calls} before"
        )
    if old.warm_calls < MIN_BASELINE_ANSWERS or not new.warm_calls:
        return None
    median = latency_buckets.quantile_index(old.buckets, 500)
    bucket_offset = int(
        math.log2(SLOW_FACTOR) * latency_buckets.BUCKETS_PER_OCTAVE
    )
    slow_index = median + bucket_offset
    slow = latency_buckets.count_from(new.buckets, slow_index)
    old_slow = (
        latency_buckets.count_from(old.buckets, slow_index) / old.warm_calls
    )
    if is_excess(slow, new.warm_calls, old_slow + margin):
        return (
            f"route {route}: {slow} of {new.warm_calls} answers took over"
            f" {latency_buckets.lower_ms(slow_index):.0f} ms"
        )
    return None


def _is_excess(
    bad: int,
    total: int,
    accepted_share: float,
    *,
    min_bad_answers: int,
    risk: float,
) -> bool:
    if bad < min_bad_answers:
        return False
    return _binomial_tail(bad, total, min(0.95, accepted_share)) < risk


def _binomial_tail(bad: int, total: int, share: float) -> float:
    """Returns the binomial probability of `bad` or more out of `total`."""
    if bad > total:
        return 0.0
    odds = share / (1.0 - share)
    term = math.exp(total * math.log1p(-share))
    cumulative = term
    for count in range(bad - 1):
        term *= odds * (total - count) / (count + 1)
        cumulative += term
    return max(0.0, 1.0 - cumulative)
