"""What callers, targets and the operator saw in a run."""

import collections
import typing

from soak import attempt


class Span(typing.NamedTuple):
    """A time in which something was disturbed.

    Attributes:
        from_s: Begin.
        to_s: End.
        what: The fault.
    """

    from_s: float
    to_s: float
    what: str


class Run(typing.NamedTuple):
    """One run of an attempt at a target."""

    at_s: float
    target_id: str


class Probe(typing.NamedTuple):
    """Whether a node had the route of a version.

    Attributes:
        node: Index of the node.
        life: Which start of its process answered.
        version: The version that was asked for.
        sent_s: When.
        has_route: Whether it was there.
    """

    node: int
    life: int
    version: int
    sent_s: float
    has_route: bool


class Record:
    """Collects what was seen; the promises are checked at the end.

    Attributes:
        attempts: Requests of callers.
        runs: Runs at targets by attempt.
        left_s: When the leaving of a target was acknowledged.
        versions_s: When each version of the configuration was accepted.
        probes: Questions for versions, in order of their answers.
        unplanned: Times with faults.
        planned: Times with work of operators.
        exits: Processes that ended or misbehaved, as text.
    """

    def __init__(self):
        self.attempts: list[attempt.Attempt] = []
        self.runs: dict[str, list[Run]] = collections.defaultdict(list)
        self.left_s: dict[str, float] = {}
        self.versions_s: dict[int, float] = {}
        self.probes: list[Probe] = []
        self.unplanned: list[Span] = []
        self.planned: list[Span] = []
        self.exits: list[str] = []

    def is_calm(self, from_s: float, to_s: float) -> bool:
        """Tells whether no fault touches a time."""
        return not any(
            span.from_s <= to_s and span.to_s >= from_s
            for span in self.unplanned
        )
