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
    result = explanation.explain(
        request_id, (line for line in lines if line is not None)
    )
    shared.show(_as_dict(result), "\n".join(_text(result)))


def _text(result: explanation.Explanation) -> list[str]:
    lines = [f"request {result.request_id} {result.outcome}"]
    if result.deciding is not None:
        lines.append(
            f"  decided at {result.deciding.node}, {_format(result.deciding)}"
        )
    lines += [f"  {line.node} {_format(line)}" for line in result.lines]
    lines += [f"  missing: {missing}" for missing in result.missing]
    for call in result.nested:
        lines += [f"  {text}" for text in _text(call)]
    return lines


def _format(line: log_line.LogLine) -> str:
    hidden = {"node", "level", "event", "request"}
    facts = " ".join(
        f"{name}={value}"
        for name, value in line.facts.items()
        if name not in hidden
    )
    return f"{line.moment} {line.event} {facts}"


def _as_dict(result: explanation.Explanation) -> dict[str, object]:
    return {
        "request": result.request_id,
        "outcome": result.outcome,
        "deciding": result.deciding.facts if result.deciding else None,
        "lines": [
            {"moment": line.moment, **line.facts} for line in result.lines
        ],
        "nested": [_as_dict(call) for call in result.nested],
        "missing": list(result.missing),
    }
