"""The command `galenatack explain`."""

import click

from galenatack.app import explanation
from galenatack.app import log_line
from galenatack.app import tool


@click.command()
@click.argument("request_id")
@click.argument("logs", type=click.File("r", errors="replace"), nargs=-1)
@click.pass_obj
def explain(
    shared: tool.Tool, request_id: str, logs: tuple[click.utils.LazyFile, ...]
) -> None:
    """Tells from the LOGS of nodes why REQUEST_ID ended as it did.

    Without LOGS, standard input is read.
    """
    files = logs or (click.get_text_stream("stdin"),)
    lines = (log_line.parse(text) for file in files for text in file)
    found = explanation.explain(
        request_id, (line for line in lines if line is not None)
    )
    shared.show(_as_dict(found), "\n".join(_text(found)))


def _text(found: explanation.Explanation) -> list[str]:
    told = [f"request {found.request_id} {found.outcome}"]
    if found.deciding is not None:
        told.append(
            f"  decided at {found.deciding.node}, {_shown(found.deciding)}"
        )
    told += [f"  {line.node} {_shown(line)}" for line in found.lines]
    told += [f"  missing: {what}" for what in found.missing]
    for item in found.nested:
        told += [f"  {text}" for text in _text(item)]
    return told


def _shown(line: log_line.LogLine) -> str:
    hidden = {"node", "level", "event", "request"}
    facts = " ".join(
        f"{name}={value}"
        for name, value in line.facts.items()
        if name not in hidden
    )
    return f"{line.moment} {line.event} {facts}"


def _as_dict(found: explanation.Explanation) -> dict[str, object]:
    return {
        "request": found.request_id,
        "outcome": found.outcome,
        "deciding": found.deciding.facts if found.deciding else None,
        "lines": [
            {"moment": line.moment, **line.facts} for line in found.lines
        ],
        "nested": [_as_dict(item) for item in found.nested],
        "missing": list(found.missing),
    }
