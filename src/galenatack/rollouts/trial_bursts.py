"""Schedules the calls of a version on trial as bursts on few targets.

A fault may show only under load. Spread over all new targets, the small share
of a trial would leave each of them almost idle. Sent to one target at a time,
in bursts, it loads that target as the old ones are loaded: the old version's
calls on one target are `1 / old_targets` of all calls.
"""

import collections.abc
import math
import typing

from galenatack.membership import node_roles
from galenatack.model import member_record

PERIOD_S = 2.5
"""A trial of ten seconds has four bursts, so a fault is seen on several targets
and a fault of a single target is told from one of the version."""

_Record = member_record.MemberRecord


class TrialBurst(typing.NamedTuple):
    """A burst of calls to a version on trial.

    Attributes:
        number: Number of the burst since the order.
        targets: Number of targets that get its calls.
        share: Share of all calls while it lasts.
    """

    number: int
    targets: int
    share: float


def burst_at(
    age_s: float, *, share: float, old_targets: int
) -> TrialBurst | None:
    """Returns the burst at a time, or None between two bursts.

    Args:
        age_s: Time since the order.
        share: Share of all calls that the trial gets on average.
        old_targets: Number of targets of the old version.
    """
    full_targets = share * max(1, old_targets)
    targets = max(1, math.floor(full_targets))
    duty = min(1.0, full_targets / targets)
    number, position_s = divmod(age_s, PERIOD_S)
    # Late in the period: by the first burst all nodes have the order.
    if position_s < PERIOD_S * (1.0 - duty):
        return None
    return TrialBurst(int(number), targets, min(1.0, share / duty))


def targets_of(
    burst: TrialBurst,
    members: collections.abc.Iterable[_Record],
    *,
    order_revision: int,
) -> list[_Record]:
    """Returns the targets that get the calls of a burst; bursts take turns."""
    by_id = {record.node_id: record for record in members}
    ranked = node_roles.rank(by_id, f"trial/{order_revision}")
    first = burst.number * burst.targets
    indexes = range(first, first + min(burst.targets, len(ranked)))
    return [by_id[ranked[index % len(ranked)]] for index in indexes]
