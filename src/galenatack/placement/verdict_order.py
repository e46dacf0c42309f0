"""Compares what placement thinks of several targets."""

from galenatack.model import proximity
from galenatack.placement import assessment
from galenatack.placement import verdict

_OTHER_REGION = proximity.Proximity.OTHER_REGION


def judged(
    found: list[assessment.Assessment],
    *,
    max_cross_region_cost: float,
    jitter: float,
) -> list[assessment.Assessment]:
    """Returns assessments by cost, with the verdicts that compare them.

    Args:
        found: Assessments; those without an obstacle have `HIGHER_COST`.
        max_cross_region_cost: Cost from which another region is not used.
        jitter: Jitter of the cost as a share of it.
    """
    has_same_region = any(
        each.distance != _OTHER_REGION
        and each.verdict != verdict.Verdict.LEAVING
        for each in found
    )
    lowest_cost = None
    ordered = []
    for each in sorted(found, key=lambda other: other.cost):
        reached = each.verdict
        if reached == verdict.Verdict.HIGHER_COST:
            if (
                each.distance == _OTHER_REGION
                and has_same_region
                and each.cost > max_cross_region_cost
            ):
                reached = verdict.Verdict.TOO_FAR
            elif lowest_cost is None:
                lowest_cost = each.cost
                reached = verdict.Verdict.LOWEST_COST
            elif each.cost <= lowest_cost * (1.0 + jitter):
                reached = verdict.Verdict.NEARLY_LOWEST_COST
        ordered.append(each._replace(verdict=reached))
    return ordered
