"""Checks the promises of the product against what was seen."""

import collections.abc

from soak import attempt
from soak import record

NOT_RUN = frozenset({408, 421, 429, 503})
"""Statuses that promise that a request has not run and never will."""

CONTACT_S = 4.0
"""A node is back in touch this long after the last fault."""

DRAIN_S = 2.5
"""A target gets no new request this long after its leaving was acknowledged."""

CONFIG_S = 2.5
"""An accepted configuration is in force everywhere after this time."""

MOST_SHOWN = 3

Finding = str


def check(seen: record.Record, *, calm_from_s: float) -> list[Finding]:
    """Returns a line for each broken promise.

    Args:
        seen: What was seen.
        calm_from_s: Begin of the time after all faults.
    """
    found = [f"process: {text}" for text in seen.exits]
    for name, items in (
        ("ran more than once", _twice(seen)),
        ("ran though said not to have", _untrue(seen)),
        ("answer of another request, or not whole", _mixed(seen)),
        ("refused though proper", _denied(seen)),
        ("cut at planned work", _cut(seen)),
        ("reached a target that left", _late(seen)),
        ("went back to an older version", _regressed(seen)),
        ("version not in force in time", _stale(seen)),
        ("not served after all faults", _unserved(seen, calm_from_s)),
    ):
        listed = list(items)
        if listed:
            shown = "; ".join(listed[:MOST_SHOWN])
            found.append(f"{name}: {len(listed)}: {shown}")
    return found


def _twice(seen: record.Record) -> collections.abc.Iterator[Finding]:
    for item in seen.attempts:
        runs = seen.runs.get(item.attempt_id, ())
        if item.is_posting and len(runs) > 1:
            yield f"{item} at {runs}"


def _untrue(seen: record.Record) -> collections.abc.Iterator[Finding]:
    for item in seen.attempts:
        if item.status in NOT_RUN and item.attempt_id in seen.runs:
            yield f"{item} at {seen.runs[item.attempt_id]}"


def _mixed(seen: record.Record) -> collections.abc.Iterator[Finding]:
    for item in seen.attempts:
        if item.status == 200 and not item.is_own:
            yield str(item)


def _denied(seen: record.Record) -> collections.abc.Iterator[Finding]:
    for item in seen.attempts:
        if 400 <= item.status < 500 and item.status not in NOT_RUN:
            yield str(item)


def _cut(seen: record.Record) -> collections.abc.Iterator[Finding]:
    for item in seen.attempts:
        is_cut = not item.status and item.attempt_id in seen.runs
        if is_cut and seen.is_calm(item.sent_s - CONTACT_S, item.ended_s):
            yield str(item)


def _late(seen: record.Record) -> collections.abc.Iterator[Finding]:
    for attempt_id, runs in seen.runs.items():
        for run in runs:
            left_s = seen.left_s.get(run.target_id)
            if left_s is not None and run.at_s > left_s + DRAIN_S:
                yield f"{attempt_id} {run} left {left_s:.3f}"


def _regressed(seen: record.Record) -> collections.abc.Iterator[Finding]:
    newest: dict[tuple[int, int], tuple[int, float]] = {}
    for probe in seen.probes:
        if not probe.has_route:
            continue
        life = (probe.node, probe.life)
        version, since_s = newest.get(life, (0, 0.0))
        if probe.version < version and probe.sent_s > since_s:
            yield f"{probe} after version {version}"
        elif probe.version > version:
            # Answers may cross on the way; only later questions count.
            newest[life] = (probe.version, probe.sent_s + 0.25)


def _stale(seen: record.Record) -> collections.abc.Iterator[Finding]:
    for probe in seen.probes:
        accepted_s = seen.versions_s[probe.version]
        due_s = accepted_s + CONFIG_S
        next_s = seen.versions_s.get(probe.version + 1)
        is_current = next_s is None or probe.sent_s + 1.0 < next_s
        if probe.has_route or probe.sent_s < due_s or not is_current:
            continue
        if seen.is_calm(probe.sent_s - CONTACT_S, probe.sent_s + 0.5):
            yield str(probe)


def _unserved(
    seen: record.Record, calm_from_s: float
) -> collections.abc.Iterator[Finding]:
    for item in seen.attempts:
        if item.sent_s >= calm_from_s and item.status != 200:
            yield str(item)


def summary(attempts: collections.abc.Sequence[attempt.Attempt]) -> str:
    """Returns how attempts ended, for the report."""
    counts: dict[str, int] = {}
    for item in attempts:
        end = str(item.status or item.failure)
        counts[end] = counts.get(end, 0) + 1
    return ", ".join(f"{end}: {n}" for end, n in sorted(counts.items()))
