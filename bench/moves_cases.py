"""Seeded cases of good and bad versions for the benchmark of moves."""

import itertools
import random
import typing

from galenatack.model import move_policy

GOOD = "good"
FAILS = "fails"
SLOWS = "slows"
AT_ONCE = "at-once"
LATER = "later"
UNDER_LOAD = "under-load"
ONE_ROUTE = "one-route"

# Error rate in excess of the old version's, or factor on its latency. The
# policies tolerate 2% and 1.5.
FAIL_SEVERITIES = (0.04, 0.08, 0.2, 0.6)
SLOW_SEVERITIES = (1.7, 2.0, 3.0, 6.0)
RATES_PER_S = (10.0, 40.0, 160.0, 500.0)
ROUTES = ("lookup", "list", "post")
ROUTE_WEIGHTS = (0.6, 0.3, 0.1)
# Moves with less traffic get more time until the promised time.
DURATIONS_S = {10.0: 900.0, 40.0: 500.0, 160.0: 240.0, 500.0: 240.0}

POLICIES = {
    "cocotera": move_policy.MovePolicy(on_low_traffic="take_back"),
    "tartu": move_policy.MovePolicy(on_low_traffic="done"),
}


class Case(typing.NamedTuple):
    """One case: a move to a good or a bad version.

    Attributes:
        deployment: Deployment whose policy applies.
        kind: `good`, `fails` or `slows`.
        when: When the fault shows; for good versions, how they differ.
        severity: Additional error rate, or factor on the latency.
        rate_per_s: Calls of the service per second.
        duration_s: Time from the start to the promised time.
        onset_s: Start of the fault, for `later`.
        route: The only faulty route; empty if all are.
        seed: Seed of all randomness of the case.
    """

    deployment: str
    kind: str
    when: str
    severity: float
    rate_per_s: float
    duration_s: float
    onset_s: float
    route: str
    seed: int


def make(*, seed: int, repeats: int = 1) -> tuple[Case, ...]:
    """Returns equally many good and bad cases for both deployments."""
    cases = []
    numbers = itertools.count(seed * 1_000_000)
    for deployment in sorted(POLICIES):
        for rate_per_s in RATES_PER_S:
            for _ in range(repeats):
                bad = _bad(deployment, rate_per_s, numbers)
                cases += bad
                cases += _good(deployment, rate_per_s, numbers, len(bad))
    return tuple(cases)


def _bad(
    deployment: str, rate_per_s: float, numbers: typing.Iterator[int]
) -> list[Case]:
    kinds = [(FAILS, severity) for severity in FAIL_SEVERITIES]
    kinds += [(SLOWS, severity) for severity in SLOW_SEVERITIES]
    variants = (AT_ONCE, LATER, UNDER_LOAD, ONE_ROUTE)
    return [
        _case(deployment, kind, when, severity, rate_per_s, next(numbers))
        for (kind, severity), when in itertools.product(kinds, variants)
    ]


def _good(
    deployment: str,
    rate_per_s: float,
    numbers: typing.Iterator[int],
    count: int,
) -> list[Case]:
    """Returns versions that are equal, faster, or tolerably worse."""
    variants = (("equal", 0.0), ("faster", 0.8), ("tolerated", 0.003))
    return [
        _case(deployment, GOOD, when, severity, rate_per_s, next(numbers))
        for when, severity in itertools.islice(itertools.cycle(variants), count)
    ]


def _case(
    deployment: str,
    kind: str,
    when: str,
    severity: float,
    rate_per_s: float,
    seed: int,
) -> Case:
    rng = random.Random(seed)
    duration_s = DURATIONS_S[rate_per_s]
    onset_s = rng.uniform(0.2, 0.85) * duration_s if when == LATER else 0.0
    route = rng.choice(ROUTES) if when == ONE_ROUTE else ""
    return Case(
        deployment,
        kind,
        when,
        severity,
        rate_per_s,
        duration_s,
        onset_s,
        route,
        seed,
    )
