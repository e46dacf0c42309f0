"""The command `galenatack status`."""

import click

from galenatack.app import rejections
from galenatack.app import tool
from galenatack.app import waiting

FIELDS = (
    "node_id",
    "held_seq",
    "running_seq",
    "members",
    "platform",
    "moves",
)


@click.command()
@click.pass_obj
def status(shared: tool.Tool) -> None:
    """Shows the version in force on each node, and what lags or failed."""
    answer = shared.client.get("/status", fields=FIELDS)
    behind = waiting.lagging(answer["members"], answer["held_seq"])
    rejected = rejections.live_rejections(answer["members"])
    unanswered = waiting.silent(answer["members"])
    data = {
        **answer,
        "lagging": behind,
        "silent": unanswered,
        "rejections": rejected,
    }
    shared.show(data, _text(data))


def _text(answer: dict) -> str:
    lines = [
        f"answered by {answer['node_id']}: holds seq {answer['held_seq']},"
        f" runs seq {answer['running_seq']}",
        f"platform: {answer['platform']}",
        _members(answer["members"]),
        f"lagging: {', '.join(answer['lagging']) or 'none'}",
        f"no answer: {', '.join(answer['silent']) or 'none'}",
    ]
    lines += [
        f"rejected by {rejection['node_id']}: {rejection['profile']}"
        f" version {rejection['version']}: {rejection['reason']}"
        for rejection in answer["rejections"]
    ]
    lines += [
        f"move {move['service']}: {move['phase']}, {move['from_version']} to"
        f" {move['to_version']}, {move['share_permille'] / 10:g}%"
        for move in answer["moves"]
    ]
    return "\n".join(lines)


def _members(members: list[dict]) -> str:
    rows: list[tuple[object, ...]] = [
        ("NODE", "STATUS", "DATA CENTRE", "SERVICE", "TARGET", "SEQ")
    ]
    rows += [
        (
            member["node_id"],
            member["status"],
            member["data_centre"],
            member["service"],
            member["version"],
            "-" if member["running_seq"] is None else member["running_seq"],
        )
        for member in sorted(members, key=lambda m: m["node_id"])
    ]
    return tool.columns(rows)
