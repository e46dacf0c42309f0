"""Judges from the outcomes of two versions whether the new one is faulty."""

import collections
import collections.abc
import math

from galenatack.model import route_evidence
from galenatack.moves import latency_buckets

LEAST_BAD = 4
"""Bad answers of one route before anything is concluded."""

MARGIN_BESIDE = 0.06
"""Share of bad answers beyond the old version's that is accepted while both
have calls: their targets differ by this much in ordinary trouble."""

MARGIN_ALONE = 0.15
"""The same once only the new version has calls: trouble that would hit both
shows in one alone then. Faulty versions of the users fail half of their calls.
"""

RISK = 0.0005
"""Probability that a sound version is found faulty, for one look at a route;
a rollout has about a hundred looks."""

SLOW_FACTOR = 4.0
"""An answer this much slower than the old version's median is bad. Targets
of one service differ in speed by a factor of up to three."""

LEAST_BASELINE = 10
"""Answers of the old version that a median needs."""

_Evidence = collections.abc.Iterable[route_evidence.RouteEvidence]


class _Tally:
    """Outcomes of one route."""

    def __init__(self):
        self.calls = 0
        self.errors = 0
        self.warm_calls = 0
        self.buckets: collections.Counter[int] = collections.Counter()

    def add(self, item: route_evidence.RouteEvidence) -> None:
        self.calls += item.calls
        self.errors += item.errors
        self.warm_calls += item.warm_calls
        self.buckets.update(dict(item.latency_buckets))


def fault(
    evidence: _Evidence, version: str, *, is_alone: bool = False
) -> str | None:
    """Returns why a version is faulty, or None when nothing shows it.

    Args:
        evidence: Outcomes of all gates, both versions.
        version: Version on trial.
        is_alone: True when the old version gets no calls any more.
    """
    margin = MARGIN_ALONE if is_alone else MARGIN_BESIDE
    new: dict[str, _Tally] = collections.defaultdict(_Tally)
    old: dict[str, _Tally] = collections.defaultdict(_Tally)
    for item in evidence:
        side = new if item.version == version else old
        side[item.route].add(item)
    everything_new, everything_old = _total(new), _total(old)
    reason = _compare("all", everything_new, everything_old, margin)
    for route, tally in sorted(new.items()):
        if reason is not None:
            break
        # A route that the old version has not served lately is compared
        # with all of its routes.
        before = old[route] if old[route].calls else everything_old
        reason = _compare(route, tally, before, margin)
    return reason


def _total(tallies: dict[str, _Tally]) -> _Tally:
    total = _Tally()
    for tally in tallies.values():
        total.calls += tally.calls
        total.errors += tally.errors
    return total


def _compare(route: str, new: _Tally, old: _Tally, margin: float) -> str | None:
    old_share = old.errors / old.calls if old.calls else 0.0
    if _is_excess(new.errors, new.calls, old_share + margin):
        return (
            f"route {route}: {new.errors} of {new.calls} calls failed,"
            f" {old.errors} of {old.calls} before"
        )
    if old.warm_calls < LEAST_BASELINE or not new.warm_calls:
        return None
    median = latency_buckets.quantile_index(old.buckets, 500)
    octaves = int(math.log2(SLOW_FACTOR) * latency_buckets.BUCKETS_PER_OCTAVE)
    bound = median + octaves
    slow = latency_buckets.count_from(new.buckets, bound)
    old_slow = latency_buckets.count_from(old.buckets, bound) / old.warm_calls
    if _is_excess(slow, new.warm_calls, old_slow + margin):
        return (
            f"route {route}: {slow} of {new.warm_calls} answers took over"
            f" {latency_buckets.lower_ms(bound):.0f} ms"
        )
    return None


def _is_excess(bad: int, total: int, accepted_share: float) -> bool:
    if bad < LEAST_BAD:
        return False
    return _tail(bad, total, min(0.95, accepted_share)) < RISK


def _tail(bad: int, total: int, share: float) -> float:
    """Returns the binomial probability of `bad` or more out of `total`."""
    if bad > total:
        return 0.0
    odds = share / (1.0 - share)
    term = math.exp(total * math.log1p(-share))
    below = term
    for count in range(bad - 1):
        term *= odds * (total - count) / (count + 1)
        below += term
    return max(0.0, 1.0 - below)
