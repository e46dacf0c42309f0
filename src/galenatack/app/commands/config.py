"""The commands `galenatack config`."""

import click

from galenatack.app import tool
from galenatack.settings import loader


@click.group()
def config() -> None:
    """Works with settings files of nodes."""


@config.command()
@click.argument("file", type=click.Path())
@click.pass_obj
def check(shared: tool.Tool, file: str) -> None:
    """Checks a node's settings FILE whole, without a node."""
    settings = loader.load(file)
    shared.show(
        {"file": file, "node_id": settings.node_id, "ok": True},
        f"{file}: ok, node {settings.node_id} of {settings.deployment}",
    )
