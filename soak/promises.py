"""Checks the guarantees of the product against the record of a run."""

import collections.abc

from soak import attempt
from soak import record
from soak import rollout

NOT_RUN = frozenset({408, 421, 429, 503})
"""Statuses that guarantee that a request has not run and never will."""

CONTACT_S = 4.0
"""Time after a fault until a node is connected to its peers again."""

DRAIN_S = 2.5
"""Time after the acknowledged leave of a target until it receives no new
requests."""

CONFIG_S = 2.5
"""Time until an accepted configuration is in force on all nodes."""

UNREACHABLE_STORE_S = 5.0
"""Additional time while some nodes do not reach the store."""

TARGETS_ENDED = 3
ALLOWED_LATE_RUNS = 3
"""Runs of a request that has crashed `TARGETS_ENDED` targets, once all nodes
have had the time to hear of it."""

COMPLETED = "completed"
ROLLED_BACK = "rolled_back"

MAX_SHOWN = 3

Finding = str


def check(seen: record.Record, *, calm_from_s: float) -> list[Finding]:
    """Returns a line for each broken promise.

    Args:
        seen: Record of the run.
        calm_from_s: Time from which all faults are over.
    """
    found = [f"process: {text}" for text in seen.exits]
    for name, violations in (
        ("ran more than once", _repeated_postings(seen)),
        ("ran though said not to have", _run_despite_refusal(seen)),
        ("answer of another request, or not whole", _foreign_answers(seen)),
        ("refused though proper", _rejected(seen)),
        ("cut at planned work", _interrupted(seen)),
        ("held past its time-out", _held(seen)),
        ("reached a target that left", _run_after_leave(seen)),
        ("went back to an older version", _regressed(seen)),
        ("version not in force in time", _stale(seen)),
        ("not served after all faults", _unserved(seen, calm_from_s)),
        ("verdict missing or changed", _changed_verdicts(seen)),
        ("version used after it was taken back", _withdrawn_used(seen)),
        ("deadly request sent on", _deadly_sent_on(seen)),
        ("innocent request in quarantine", _innocent_refused(seen)),
    ):
        listed = list(violations)
        if listed:
            shown = "; ".join(listed[:MAX_SHOWN])
            found.append(f"{name}: {len(listed)}: {shown}")
    return found


def _repeated_postings(
    seen: record.Record,
) -> collections.abc.Iterator[Finding]:
    for sent in seen.attempts:
        runs = seen.runs.get(sent.attempt_id, ())
        if sent.is_posting and len(runs) > 1:
            yield f"{sent} at {runs}"


def _run_despite_refusal(
    seen: record.Record,
) -> collections.abc.Iterator[Finding]:
    for sent in seen.attempts:
        if sent.status in NOT_RUN and sent.attempt_id in seen.runs:
            yield f"{sent} at {seen.runs[sent.attempt_id]}"


def _foreign_answers(seen: record.Record) -> collections.abc.Iterator[Finding]:
    for sent in seen.attempts:
        if sent.status == 200 and not sent.is_own:
            yield str(sent)


def _rejected(seen: record.Record) -> collections.abc.Iterator[Finding]:
    for sent in seen.attempts:
        if 400 <= sent.status < 500 and sent.status not in NOT_RUN:
            yield str(sent)


def _interrupted(seen: record.Record) -> collections.abc.Iterator[Finding]:
    for sent in seen.attempts:
        is_interrupted = not sent.status and sent.attempt_id in seen.runs
        if is_interrupted and seen.is_calm(
            sent.sent_s - CONTACT_S, sent.ended_s
        ):
            yield str(sent)


def _held(seen: record.Record) -> collections.abc.Iterator[Finding]:
    yield from (name for name in seen.runs if name.startswith(record.IN_PART))
    for span in seen.held:
        if seen.is_calm(span.from_s - CONTACT_S, span.to_s):
            yield str(span)


def _run_after_leave(seen: record.Record) -> collections.abc.Iterator[Finding]:
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
        process = (probe.node, probe.life)
        version, since_s = newest.get(process, (0, 0.0))
        if probe.version < version and probe.sent_s > since_s:
            yield f"{probe} after version {version}"
        elif probe.version > version:
            # Concurrent probes may overtake each other; only later ones count.
            newest[process] = (probe.version, probe.sent_s + 0.25)


def _stale(seen: record.Record) -> collections.abc.Iterator[Finding]:
    for probe in seen.probes:
        accepted_s = seen.versions_s[probe.version]
        deadline_s = accepted_s + CONFIG_S
        if seen.has_reader_fault(accepted_s - CONTACT_S, probe.sent_s):
            deadline_s += UNREACHABLE_STORE_S
        next_s = min(
            (
                at_s
                for version, at_s in seen.versions_s.items()
                if version > probe.version
            ),
            default=None,
        )
        is_current = next_s is None or probe.sent_s + 1.0 < next_s
        if probe.has_route or probe.sent_s < deadline_s or not is_current:
            continue
        if seen.is_calm(probe.sent_s - CONTACT_S, probe.sent_s + 0.5):
            yield str(probe)


def _unserved(
    seen: record.Record, calm_from_s: float
) -> collections.abc.Iterator[Finding]:
    for sent in seen.attempts:
        if sent.sent_s >= calm_from_s and sent.status != 200:
            yield str(sent)


def _changed_verdicts(
    seen: record.Record,
) -> collections.abc.Iterator[Finding]:
    """A store may lose a verdict, but the same one has to come back."""
    if not seen.has_rollout:
        return
    verdicts = {
        read.state
        for read in seen.states
        if read.state in (COMPLETED, ROLLED_BACK)
    }
    if len(verdicts) != 1 or seen.states[-1].state not in verdicts:
        yield str(seen.states)


def _withdrawn_used(seen: record.Record) -> collections.abc.Iterator[Finding]:
    taken_back_s = [
        read.at_s for read in seen.states if read.state == ROLLED_BACK
    ]
    if not taken_back_s:
        return
    for attempt_id, runs in seen.runs.items():
        for run in runs:
            is_late = run.at_s > taken_back_s[0] + CONTACT_S
            if (
                is_late
                and run.version == rollout.VERSION
                and seen.is_calm(run.at_s - CONTACT_S, run.at_s)
            ):
                yield f"{attempt_id} {run}"


def _deadly_sent_on(seen: record.Record) -> collections.abc.Iterator[Finding]:
    if len(seen.deadly_crashes_s) < TARGETS_ENDED:
        return
    late_s = sorted(seen.deadly_crashes_s)[TARGETS_ENDED - 1] + CONTACT_S
    late = [
        f"{attempt_id} at {runs}"
        for attempt_id, sent_s in seen.deadly_sent_s.items()
        if sent_s > late_s
        and (runs := seen.runs.get(attempt_id))
        and seen.is_in_touch(sent_s - CONTACT_S, sent_s)
    ]
    if len(late) > ALLOWED_LATE_RUNS:
        yield from late


def _innocent_refused(
    seen: record.Record,
) -> collections.abc.Iterator[Finding]:
    for sent in seen.attempts:
        if sent.failure == "quarantined":
            yield str(sent)


def summary(attempts: collections.abc.Sequence[attempt.Attempt]) -> str:
    """Returns the number of attempts by status or error."""
    counts: dict[str, int] = {}
    for sent in attempts:
        ending = str(sent.status or sent.failure)
        counts[ending] = counts.get(ending, 0) + 1
    return ", ".join(f"{ending}: {n}" for ending, n in sorted(counts.items()))
