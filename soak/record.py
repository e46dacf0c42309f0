"""Observations of callers, targets and the operator in a run."""

import collections
import typing

from soak import attempt
from soak import config_history
from soak import disruption
from soak import sighting

DEADLY = "deadly request"
"""Describes the span of a crash by a deadly request."""


IN_PART = "part-"
"""Begin of the identifiers of requests that are never sent to their ends."""


class Span(typing.NamedTuple):
    """A time span in which a fault was active.

    Attributes:
        from_s: Start.
        to_s: End.
        what: Description of the fault.
    """

    from_s: float
    to_s: float
    what: str


class Run(typing.NamedTuple):
    """One run of an attempt at a target."""

    at_s: float
    target_id: str
    version: str = "v1"


class State(typing.NamedTuple):
    """State of the rollout that the operator reads; empty without a row."""

    at_s: float
    state: str


class Probe(typing.NamedTuple):
    """Result of asking a node for the route of a configuration version.

    Attributes:
        node: Index of the node.
        life: Number of the start of its process that answered.
        version: Version asked for.
        sent_s: Time at which the probe was sent.
        has_route: Whether the node had the route.
    """

    node: int
    life: int
    version: int
    sent_s: float
    has_route: bool


class Record:
    """Collects observations, which `promises.check` evaluates at the end.

    Attributes:
        attempts: Requests of callers.
        runs: Runs at targets by attempt.
        left_s: Time of the acknowledged leave, by target id.
        versions_s: Time of acceptance, by configuration version.
        held: Requests in part that had neither an answer nor a close in time.
        probes: Version probes, in order of their answers.
        unplanned: Time spans of faults.
        planned: Time spans of operator actions.
        readers: Time spans of faults of the store's readers.
        exits: Problems of processes, as text.
        has_rollout: Whether a rollout was ordered.
        states: Its states in the order in which they were read.
        deadly_sent_s: Time at which each deadly request was sent, by attempt.
        sightings: Requests on routes that the configuration changes.
        disruptions: Time spans that stretch or suspend the time bounds of the
            configuration.
        history: What each version of the configuration says.
        starved: Processes that waited long for a processor, as text. This
            excuses nothing; it tells why a time bound was missed.
        deadly_crashes_s: Times at which deadly requests crashed targets.
    """

    def __init__(self):
        self.attempts: list[attempt.Attempt] = []
        self.runs: dict[str, list[Run]] = collections.defaultdict(list)
        self.left_s: dict[str, float] = {}
        self.versions_s: dict[int, float] = {}
        self.held: list[Span] = []
        self.probes: list[Probe] = []
        self.unplanned: list[Span] = []
        self.planned: list[Span] = []
        self.readers: list[Span] = []
        self.exits: list[str] = []
        self.has_rollout = False
        self.states: list[State] = []
        self.sightings: list[sighting.Sighting] = []
        self.disruptions: list[disruption.Disruption] = []
        self.history = config_history.ConfigHistory()
        self.starved: list[str] = []
        self.deadly_sent_s: dict[str, float] = {}
        self.deadly_crashes_s: list[float] = []

    def is_calm(self, from_s: float, to_s: float) -> bool:
        """Returns whether no fault overlaps a time span."""
        return not any(
            span.from_s <= to_s and span.to_s >= from_s
            for span in self.unplanned
        )

    def has_reader_fault(self, from_s: float, to_s: float) -> bool:
        """Returns whether a fault of the readers overlaps a time span."""
        return any(
            span.from_s <= to_s and span.to_s >= from_s for span in self.readers
        )

    def is_in_touch(self, from_s: float, to_s: float) -> bool:
        """Returns whether only crashes by deadly requests overlap a span."""
        return not any(
            span.from_s <= to_s and span.to_s >= from_s
            for span in self.unplanned
            if span.what != DEADLY
        )
