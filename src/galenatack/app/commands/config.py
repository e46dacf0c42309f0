"""The commands `galenatack config`."""

import pathlib

import click

from galenatack.app import tool
from galenatack.platform import settings_document
from galenatack.settings import loader
from galenatack.settings import mesh_settings


@click.group()
def config() -> None:
    """Works with settings files of nodes."""


@config.command()
@click.argument("file", type=click.Path())
@click.pass_obj
def check(shared: tool.Tool, file: str) -> None:
    """Checks a node's settings FILE whole, without a node.

    The file may have the product's own form or that of the users' platform.
    """
    path = pathlib.Path(file)
    if settings_document.is_platform_form(path):
        in_effect = settings_document.load(path)
        data = _in_effect(in_effect)
        lines = [f"{name}: {value}" for name, value in sorted(data.items())]
        shared.show(
            {"file": file, "ok": True, "in_effect": data},
            "\n".join([f"{file}: ok, node {in_effect.node_id}", *lines]),
        )
        return
    settings = loader.load(file)
    shared.show(
        {"file": file, "node_id": settings.node_id, "ok": True},
        f"{file}: ok, node {settings.node_id} of {settings.deployment}",
    )


def _in_effect(settings: mesh_settings.MeshSettings) -> dict[str, object]:
    """Returns all values in effect by name."""
    values = settings._asdict()
    bounds = values.pop("bounds")._asdict()
    return values | {f"bounds.{name}": value for name, value in bounds.items()}
