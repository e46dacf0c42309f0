"""Explains the outcome of a request from the logs of several nodes."""

import collections.abc
import typing

from galenatack.app import log_line

_Line = log_line.LogLine
_ORDER = {
    "placed": 0,
    "gate-refused": 1,
    "not-placed": 1,
    "target-ended": 1,
    "answered": 2,
}
_SENTENCES = {
    "overloaded": (
        "was refused because of load: {detail}; it did not run and the caller"
        " was told to come back"
    ),
    "retry-refused": (
        "did not run: a target refused it, and retries were too many for it to"
        " be sent to another one: {detail}"
    ),
    "no-target": (
        "was refused because no target could take it: {detail}; it did not run"
    ),
    "no-permitted-target": (
        "was refused and did not run, because there is no target where it may"
        " run: {detail}"
    ),
    "evacuated": (
        "was refused and did not run, because the data centre of the target is"
        " evacuated: {detail}"
    ),
    "leaving": "was refused because its target was leaving: {detail}",
    "target-connect": (
        "did not run, because the target took no connection: {detail}"
    ),
    "target-shed": "did not run, because the target itself refused it",
    "target-answer-lost": (
        "may have run: the target's connection broke before its whole answer"
        " came"
    ),
    "target-crashed": "may have run: its target crashed while it ran",
    "quarantined": "was refused and did not run: {detail}",
    "deadline-exceeded": (
        "may have run: its time was over before the target answered"
    ),
    "peer-timeout": (
        "may have run: the link to the target's node gave no answer in time"
    ),
    "peer-unreachable": (
        "did not run, because the target's node could not be reached"
    ),
    "cancelled": "was dropped because its caller went away",
    "no-route": "has no route in the configuration {config}",
}


class Explanation(typing.NamedTuple):
    """Explanation of a request's outcome.

    Attributes:
        request_id: The request.
        outcome: One sentence.
        deciding: The line that shows the cause, or None.
        lines: Lines of the request, in causal order.
        nested: Explanations of the calls that its target made.
        missing: Descriptions of lines that the logs lack.
    """

    request_id: str
    outcome: str
    deciding: _Line | None
    lines: tuple[_Line, ...]
    nested: tuple["Explanation", ...]
    missing: tuple[str, ...]


def explain(
    request_id: str, lines: collections.abc.Iterable[_Line]
) -> Explanation:
    """Explains the outcome of a request from log lines.

    Args:
        request_id: The request. Targets derive the identifiers of nested
            calls from it, separated by a dot.
        lines: Lines of all nodes, in any order.
    """
    by_request: dict[str, list[_Line]] = {}
    for line in lines:
        line_request = line.facts.get("request", "")
        if line_request == request_id or line_request.startswith(
            f"{request_id}."
        ):
            by_request.setdefault(line_request, []).append(line)
    nested = tuple(
        _explain_one(name, request_lines, ())
        for name, request_lines in sorted(by_request.items())
        if name != request_id
    )
    return _explain_one(request_id, by_request.get(request_id, []), nested)


def _explain_one(
    request_id: str,
    lines: list[_Line],
    nested: tuple[Explanation, ...],
) -> Explanation:
    ordered = tuple(
        sorted(lines, key=lambda line: (line.moment, _ORDER.get(line.event, 1)))
    )
    deciding = _deciding(ordered)
    return Explanation(
        request_id=request_id,
        outcome=_outcome(ordered, deciding, nested),
        deciding=deciding,
        lines=ordered,
        nested=nested,
        missing=_missing(ordered),
    )


def _deciding(lines: tuple[_Line, ...]) -> _Line | None:
    """Returns the line closest to the cause; those of the gate come first."""
    for event in ("target-ended", "gate-refused", "not-placed", "answered"):
        for line in reversed(lines):
            if line.event == event and _has_failed(line):
                return line
    answered = [line for line in lines if line.event == "answered"]
    return answered[-1] if answered else None


def _has_failed(line: _Line) -> bool:
    failure = line.facts.get("failure", "-")
    return failure != "-" or line.facts.get("status", "")[:1] == "5"


def _outcome(
    lines: tuple[_Line, ...],
    deciding: _Line | None,
    nested: tuple[Explanation, ...],
) -> str:
    if deciding is None:
        return "nothing in these logs tells how it ended"
    facts = {"detail": "-", "config": "-"} | deciding.facts
    failure = facts.get("failure", "-")
    if failure != "-":
        sentence = _SENTENCES.get(failure, f"failed with {failure}")
        return sentence.format(**facts)
    if _has_failed(deciding):
        failed = [call.request_id for call in nested if _is_failed(call)]
        cause = f" after its nested call {failed[0]} failed" if failed else ""
        target = facts.get("target", "its target")
        return f"ran, and {target} answered {facts.get('status')}{cause}"
    return f"was answered with {facts.get('status')}"


def _is_failed(call: Explanation) -> bool:
    return call.deciding is not None and _has_failed(call.deciding)


def _missing(lines: tuple[_Line, ...]) -> tuple[str, ...]:
    events = {line.event for line in lines}
    missing = []
    answered = [line for line in lines if line.event == "answered"]
    if not answered:
        missing.append("the line of the node that the caller asked")
    if not events & {"target-ended", "gate-refused", "not-placed"} and not any(
        _explains_refusal(line) for line in answered
    ):
        missing.append("the line of a gate")
    return tuple(missing)


def _explains_refusal(line: _Line) -> bool:
    """Returns whether the line gives the reason why the call did not run."""
    is_not_run = line.facts.get("outcome") == "not-run"
    return is_not_run and line.facts.get("detail", "-") != "-"
