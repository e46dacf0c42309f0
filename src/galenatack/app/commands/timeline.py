"""The command `galenatack timeline`."""

import pathlib

import click

from galenatack import exceptions
from galenatack.app import event_source
from galenatack.app import time_option
from galenatack.app import tool
from galenatack.model import event

HLC_COUNTER_BITS = 16


@click.command()
@click.option(
    "--kind",
    "kinds",
    multiple=True,
    help="Only events of this kind; repeatable.",
)
@click.option(
    "--node",
    "nodes",
    multiple=True,
    metavar="NODE_ID",
    help="Only events of this node; repeatable.",
)
@click.option(
    "--service",
    "services",
    multiple=True,
    help="Only events that name this service; repeatable.",
)
@click.option(
    "--svg",
    "svg_file",
    type=click.Path(dir_okay=False),
    help="Draw the time line into a file instead.",
)
@click.pass_obj
def timeline(
    shared: tool.Tool,
    kinds: tuple[str, ...],
    nodes: tuple[str, ...],
    services: tuple[str, ...],
    svg_file: str | None,
) -> None:
    """Shows the events of all nodes in one causal order."""
    events = [
        entry
        for entry in event_source.collect(shared)
        if _is_one_of(entry.kind, kinds)
        and _is_one_of(entry.event_id.node_id, nodes)
        and _is_one_of(dict(entry.facts).get("service"), services)
    ]
    if svg_file is None:
        data = [_as_dict(entry) for entry in events]
        text = "\n".join(_line(entry) for entry in events)
        shared.show(data, text or "no events")
        return
    try:
        drawing = event_source.render_svg(events)
        pathlib.Path(svg_file).write_text(drawing, encoding="utf-8")
    except OSError as error:
        raise exceptions.UsageError(f"--svg: {error}") from error
    shared.show(
        {"file": svg_file, "events": len(events)},
        f"{svg_file}: {len(events)} events",
    )


def _is_one_of(value: str | None, wanted: tuple[str, ...]) -> bool:
    return not wanted or value in wanted


def _line(entry: event.Event) -> str:
    moment = time_option.format_utc(entry.hlc >> HLC_COUNTER_BITS)
    facts = " ".join(f"{name}={value}" for name, value in entry.facts)
    return f"{moment} {entry.event_id.node_id} {entry.kind} {facts}".rstrip()


def _as_dict(entry: event.Event) -> dict[str, object]:
    return {
        "event_id": entry.event_id._asdict(),
        "hlc": entry.hlc,
        "kind": entry.kind,
        "cause": entry.cause._asdict() if entry.cause else None,
        "facts": dict(entry.facts),
    }
