"""State and output helpers shared by all commands of the tool."""

import json
import typing

import click
import httpx

from galenatack.app import admin_client
from galenatack.app import tool_clock


class Environment(typing.NamedTuple):
    """Dependencies that tests replace.

    Attributes:
        transport: Transport of httpx; None for the network.
        clock: Clock of the tool.
    """

    transport: httpx.BaseTransport | None
    clock: tool_clock.ToolClock


class Tool(typing.NamedTuple):
    """State shared by all commands of the tool.

    Attributes:
        client: Client of the admin API.
        clock: Clock of the tool.
        is_json: True for `--output json`.
    """

    client: admin_client.AdminClient
    clock: tool_clock.ToolClock
    is_json: bool

    def show(self, data: object, text: str) -> None:
        """Prints a result in the chosen output format."""
        click.echo(json.dumps(data, indent=2) if self.is_json else text)

    def progress(self, text: str) -> None:
        """Prints a progress line to standard error."""
        click.echo(text, err=True)


def columns(rows: list[tuple[object, ...]]) -> str:
    """Returns rows as aligned columns, one line each."""
    cells = [[str(cell) for cell in row] for row in rows]
    if not cells:
        return ""
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    )
