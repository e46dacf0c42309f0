"""Verdict on one route of the new version."""

import enum
import typing


class Judgement(enum.StrEnum):
    """Judgement of a route of the new version."""

    CLEAR = "clear"
    FAULTY = "faulty"
    INSUFFICIENT = "insufficient"


class RouteVerdict(typing.NamedTuple):
    """Verdict on one route of the new version, with its evidence.

    Attributes:
        route: Name of the route.
        judgement: `clear`, `faulty` or `insufficient`.
        reason: Reason for the judgement, with figures.
        new_calls: Calls on the new version.
        new_errors: Errors among them.
        evidence_log: Natural logarithm of the evidence against the new
            version; the version is faulty at the threshold.
        is_suspected: True when the evidence is against the new version,
            though not strong enough to call it faulty.
    """

    route: str
    judgement: str
    reason: str
    new_calls: int
    new_errors: int
    evidence_log: float
    is_suspected: bool
