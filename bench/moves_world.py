"""Simulated targets, traffic and disturbances of the moves benchmark."""

import math
import random
import typing

from bench import moves_cases

DATA_CENTRES = ("a", "b", "c", "d")
DATA_CENTRE_FACTORS = (1.0, 1.15, 1.6, 0.85)
BASE_MS = {"lookup": 20.0, "list": 60.0, "post": 8.0}
SIGMA = 0.45
BASE_ERROR = 0.003
COLD_S = 8.0
COLD_FACTOR = 5.0
# Faults under load show above this fraction of a target's normal load.
LOAD_ONSET = 0.7
LOAD_DECAY_S = 1.0
# Above this load the inbound gate refuses calls; these do not count as
# evidence.
CAPACITY = 1.5
TOLERATED_FACTOR = 1.08


class Outcome(typing.NamedTuple):
    """Outcome of one call.

    Attributes:
        is_error: Whether the target failed.
        latency_ms: Latency at the target.
        met_fault: Whether the call failed or was slow because of the new
            version.
    """

    is_error: bool
    latency_ms: float
    met_fault: bool


class Disturbance(typing.NamedTuple):
    """A temporary disturbance of both versions.

    Attributes:
        start_s: Start.
        end_s: End.
        rate_factor: Factor on the traffic.
        error: Additional error rate.
        latency_factor: Factor on the latency.
    """

    start_s: float
    end_s: float
    rate_factor: float
    error: float
    latency_factor: float


class World:
    """The simulated service of one case, seeded by the case."""

    def __init__(self, case: moves_cases.Case):
        self._case = case
        self.rng = random.Random(case.seed * 7 + 1)
        self._disturbances = self._make_disturbances()
        self._load: dict[tuple[str, int], tuple[float, float]] = {}
        self._first_call_s: dict[tuple[str, int], float] = {}
        self._active: tuple[Disturbance, ...] = ()

    def calls_in(self, now_s: float, step_s: float) -> int:
        """Returns the number of arriving calls; updates active disturbances."""
        self._active = tuple(
            disturbance
            for disturbance in self._disturbances
            if disturbance.start_s <= now_s < disturbance.end_s
        )
        wave = 1.0 + 0.3 * math.sin(now_s / 60.0)
        mean = self._case.rate_per_s * step_s * wave
        for disturbance in self._active:
            mean *= disturbance.rate_factor
        return self._poisson(mean)

    def route(self) -> str:
        """Returns the route of a call."""
        return self.rng.choices(moves_cases.ROUTES, moves_cases.ROUTE_WEIGHTS)[
            0
        ]

    def call(
        self, now_s: float, version: str, target: int, route: str
    ) -> Outcome | None:
        """Returns the outcome of one call; None if the gate refused it."""
        rng = self.rng
        load = self._add_load(now_s, version, target)
        if load > CAPACITY:
            return None
        error = BASE_ERROR
        factor = DATA_CENTRE_FACTORS[target] * max(1.0, 0.6 + 0.4 * load)
        for disturbance in self._active:
            error += disturbance.error
            factor *= disturbance.latency_factor
        first_s = self._first_call_s.setdefault((version, target), now_s)
        if version == "v2" and now_s - first_s < COLD_S:
            factor *= COLD_FACTOR
        extra, slowdown = 0.0, 1.0
        if version == "v2":
            extra, slowdown = self._version_difference(now_s, load, route)
        latency_ms = BASE_MS[route] * factor * rng.lognormvariate(0.0, SIGMA)
        is_fault = self._case.kind != moves_cases.GOOD and slowdown > 1.0
        is_extra = rng.random() < extra
        is_error = is_extra or rng.random() < error
        is_bad = self._case.kind != moves_cases.GOOD and is_extra
        return Outcome(is_error, latency_ms * slowdown, is_bad or is_fault)

    def _version_difference(
        self, now_s: float, load: float, route: str
    ) -> tuple[float, float]:
        """Returns the additional error rate and the factor on the latency."""
        case = self._case
        if case.when == "tolerated":
            return case.severity, TOLERATED_FACTOR
        if case.when == "faster":
            return 0.0, case.severity
        is_off = (
            case.kind == moves_cases.GOOD
            or now_s < case.onset_s
            or (case.route and case.route != route)
            or (case.when == moves_cases.UNDER_LOAD and load < LOAD_ONSET)
        )
        if is_off:
            return 0.0, 1.0
        if case.kind == moves_cases.FAILS:
            return case.severity, 1.0
        return 0.0, case.severity

    def _add_load(self, now_s: float, version: str, target: int) -> float:
        """Adds a call; returns the load of a target, 1.0 being normal load."""
        normal = self._case.rate_per_s / len(DATA_CENTRES) * LOAD_DECAY_S
        normal = max(1.0, normal)
        value, then_s = self._load.get((version, target), (0.0, now_s))
        value *= math.exp(-(now_s - then_s) / LOAD_DECAY_S)
        is_refused = value + 1.0 > normal * CAPACITY + 1.0
        if not is_refused:
            value += 1.0
        self._load[version, target] = (value, now_s)
        return CAPACITY + 1.0 if is_refused else min(CAPACITY, value / normal)

    def _make_disturbances(self) -> tuple[Disturbance, ...]:
        rng = self.rng
        disturbances = []
        for _ in range(4):
            start_s = rng.uniform(0.0, self._case.duration_s)
            disturbances.append(
                Disturbance(
                    start_s,
                    start_s + rng.uniform(5.0, 25.0),
                    rng.choice((1.0, 2.0, 3.0)),
                    rng.choice((0.0, 0.1, 0.3)),
                    rng.choice((1.0, 1.5, 2.5)),
                )
            )
        return tuple(disturbances)

    def _poisson(self, mean: float) -> int:
        if mean > 30.0:
            return max(0, round(self.rng.gauss(mean, math.sqrt(mean))))
        limit, count, product = math.exp(-mean), 0, self.rng.random()
        while product > limit:
            count += 1
            product *= self.rng.random()
        return count
