"""Checks what nodes did with a configuration that changes."""

import collections
import collections.abc

from soak import disruption
from soak import record
from soak import route_callers
from soak import sighting

CONTACT_S = 4.0
"""Time after a disruption until a node is in touch again."""

CONFIG_S = 2.5
UNSTABLE_STORE_S = 5.0
SLACK_S = 0.25
"""Time after a node has shown a version until it must not go back."""

SLOW_SLACK_S = 2.0
DENIED = frozenset({400, 401, 403, 413, 414, 431})
MAX_SHOWN = 3

_ANSWERED = (200, 404)
_Violation = tuple[sighting.Sighting, str]
"""A request, and what is wrong with it."""


def check(seen: record.Record) -> list[str]:
    """Returns a line for each broken promise."""
    judged = [
        one for one in seen.sightings if one.status in _ANSWERED and one.is_own
    ]
    found = []
    for name, violations in (
        ("CONFIG: as no version allows", _unexplained(seen, judged)),
        ("CONFIG: not in force in time", _late(seen, judged)),
        ("CONFIG: went back", _regressed(seen, judged)),
        ("DENIED", _denied(seen)),
        ("changing route: answer of another request", _foreign(seen)),
    ):
        listed = list(violations)
        if listed:
            forms = collections.Counter(one.form for one, _ in listed)
            shown = "; ".join(
                f"{one}{reason}" for one, reason in listed[:MAX_SHOWN]
            )
            found.append(f"{name}: {len(listed)} ({_counts(forms)}): {shown}")
    return found


def _counts(counter: collections.Counter) -> str:
    return ", ".join(f"{key}: {n}" for key, n in sorted(counter.items()))


def summary(seen: record.Record) -> str:
    """Returns how much the checks have covered."""
    bound = sum(
        required_version(seen, one.node, one.sent_s) > 0
        for one in seen.sightings
    )
    statuses = collections.Counter(one.status for one in seen.sightings)
    stalls = sum(item.is_slow for item in seen.disruptions)
    return (
        f"{len(seen.history.versions)} versions, {len(seen.sightings)}"
        f" requests on changing routes ({_counts(statuses)}),"
        f" {bound} with a time bound, the last {_longest_lag_s(seen):.1f} s"
        f" after a version by an older one, machine too busy {stalls} times"
    )


def required_version(seen: record.Record, node: int, at_s: float) -> int:
    """Returns the oldest version that a request may be handled by.

    Args:
        seen: Record of the run.
        node: Index of the node that gets the request.
        at_s: Time at which the request is sent.

    Returns:
        The version; 0 while no time bound holds for the node.
    """
    bound_s = CONFIG_S
    for item in _disruptions(seen, node, at_s):
        if not item.is_partial:
            return 0
        bound_s = CONFIG_S + UNSTABLE_STORE_S
    return next(
        (
            version
            for version in reversed(seen.history.versions)
            if seen.history.acknowledged_s(version, at_s) + bound_s < at_s
        ),
        0,
    )


def _longest_lag_s(seen: record.Record) -> float:
    """Returns how long an older version was used by nodes that were up."""
    lag_s = 0.0
    for one in seen.sightings:
        if one.status not in _ANSWERED or not one.is_own:
            continue
        if one.form != route_callers.PLAIN:
            # A form that is not understood shows no version.
            continue
        if any(
            not item.is_partial
            for item in _disruptions(seen, one.node, one.sent_s)
        ):
            continue
        matching = seen.history.matching(
            one.route, one.service, by_s=one.ended_s
        )
        newer = seen.history.after(matching[-1]) if matching else None
        if newer is not None:
            acknowledged_s = seen.history.acknowledged_s(newer, one.sent_s)
            lag_s = max(lag_s, one.sent_s - acknowledged_s)
    return lag_s


def _disruptions(
    seen: record.Record, node: int, at_s: float
) -> collections.abc.Iterator[disruption.Disruption]:
    for item in seen.disruptions:
        if item.hits(node) and item.overlaps(at_s - CONTACT_S, at_s):
            yield item


def _unexplained(
    seen: record.Record, judged: list[sighting.Sighting]
) -> collections.abc.Iterator[_Violation]:
    for one in judged:
        if not seen.history.matching(one.route, one.service, by_s=one.ended_s):
            yield one, ""


def _late(
    seen: record.Record, judged: list[sighting.Sighting]
) -> collections.abc.Iterator[_Violation]:
    for one in judged:
        matching = seen.history.matching(
            one.route, one.service, by_s=one.ended_s
        )
        required = required_version(seen, one.node, one.sent_s)
        if matching and matching[-1] < required:
            acknowledged_s = seen.history.acknowledged_s(required, one.sent_s)
            yield (
                one,
                f" by version {matching[-1]}, not {required} or later,"
                f" acknowledged {one.sent_s - acknowledged_s:.2f} s before",
            )


def _regressed(
    seen: record.Record, judged: list[sighting.Sighting]
) -> collections.abc.Iterator[_Violation]:
    events = []
    for number, one in enumerate(judged):
        slack_s = SLACK_S
        if any(
            item.is_slow for item in _disruptions(seen, one.node, one.ended_s)
        ):
            slack_s = SLOW_SLACK_S
        events.append((one.sent_s, 0, number))
        events.append((one.ended_s + slack_s, 1, number))
    shown: dict[tuple[int, int], int] = collections.defaultdict(int)
    for _, is_shown, number in sorted(events):
        one = judged[number]
        process = (one.node, one.life)
        matching = seen.history.matching(
            one.route, one.service, by_s=one.ended_s
        )
        if is_shown:
            # The oldest of the versions that the process may run by now.
            shown[process] = max(
                shown[process],
                min((v for v in matching if v >= shown[process]), default=0),
            )
        elif matching and matching[-1] < shown[process]:
            yield one, f" by version {matching[-1]} after {shown[process]}"


def _denied(seen: record.Record) -> collections.abc.Iterator[_Violation]:
    for one in seen.sightings:
        if one.status in DENIED:
            yield one, ""


def _foreign(seen: record.Record) -> collections.abc.Iterator[_Violation]:
    for one in seen.sightings:
        if one.status and not one.is_own:
            yield one, ""
