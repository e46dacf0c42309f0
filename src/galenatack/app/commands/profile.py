"""The commands `galenatack profile`."""

import difflib
import json
import typing

import click

from galenatack.app import admin_client
from galenatack.app import profile_file
from galenatack.app import time_option
from galenatack.app import tool
from galenatack.app import waiting

DEFAULT_TIMEOUT = "30s"

_wait_options = (
    click.option("--wait", is_flag=True, help="Wait until all nodes run it."),
    click.option(
        "--timeout",
        "timeout_ms",
        type=time_option.Duration(),
        default=DEFAULT_TIMEOUT,
        show_default=True,
        help="Longest time for --wait.",
    ),
)


def _add_wait_options(command: typing.Callable) -> typing.Callable:
    for option in reversed(_wait_options):
        command = option(command)
    return command


@click.group()
def profile() -> None:
    """Checks, publishes and chooses profiles."""


@profile.command()
@click.argument("file", type=click.Path())
@click.pass_obj
def check(shared: tool.Tool, file: str) -> None:
    """Checks the profile in FILE whole, without a node."""
    document = profile_file.read(file)
    shared.show(
        {"file": file, "name": document["name"], "ok": True},
        f"{file}: ok, profile {document['name']}",
    )


@profile.command()
@click.argument("file", type=click.Path())
@click.option(
    "--expect",
    type=click.IntRange(min=0),
    help="Publish only if this version is in force; 0 for a new profile.",
)
@_add_wait_options
@click.pass_obj
def publish(
    shared: tool.Tool,
    file: str,
    expect: int | None,
    wait: bool,
    timeout_ms: int,
) -> None:
    """Publishes the profile in FILE as a new version."""
    document = profile_file.read(file)
    answer = shared.client.change(
        "POST",
        "/profiles",
        {"profile": document, "expect": expect},
        fields=("name", "version", "seq"),
    )
    text = f"{answer['name']} version {answer['version']}, seq {answer['seq']}"
    if wait:
        shared.progress(f"accepted {text}")
        waiting.wait_until_in_force(
            shared,
            seq=answer["seq"],
            published=(answer["name"], answer["version"]),
            timeout_ms=timeout_ms,
        )
        text = f"{text}, in force on all nodes"
    shared.show(answer, text)


@profile.command("list")
@click.pass_obj
def list_profiles(shared: tool.Tool) -> None:
    """Lists the profiles with the version in force."""
    answer = shared.client.get("/profiles", fields=("profiles",))
    rows: list[tuple[object, ...]] = [("NAME", "VERSION", "SEQ", "SERVICE")]
    rows += [
        (entry["name"], entry["version"], entry["seq"], entry["service"])
        for entry in answer["profiles"]
    ]
    shared.show(answer, tool.columns(rows))


@profile.command()
@click.argument("name")
@click.pass_obj
def show(shared: tool.Tool, name: str) -> None:
    """Shows the profile NAME."""
    answer = _in_force(shared, name)
    shared.show(answer, _body(answer["profile"]).rstrip("\n"))


@profile.command()
@click.argument("name")
@click.argument("file", type=click.Path())
@click.pass_obj
def diff(shared: tool.Tool, name: str, file: str) -> None:
    """Shows what publishing FILE would change in the profile NAME."""
    document = profile_file.read(file)
    answer = _in_force(shared, name)
    lines = difflib.unified_diff(
        _body(answer["profile"]).splitlines(),
        _body(document).splitlines(),
        f"{name} version {answer['version']}",
        file,
        lineterm="",
    )
    text = "\n".join(lines)
    shared.show(
        {"name": name, "version": answer["version"], "diff": text},
        text or "no difference",
    )


@profile.command()
@click.argument("service")
@click.argument("name")
@click.option(
    "--version",
    "version",
    required=True,
    help="Target version that takes the traffic outside of a move.",
)
@_add_wait_options
@click.pass_obj
def choose(
    shared: tool.Tool,
    service: str,
    name: str,
    version: str,
    wait: bool,
    timeout_ms: int,
) -> None:
    """Lets SERVICE run under the profile NAME."""
    answer = shared.client.change(
        "POST",
        f"/services/{admin_client.quoted(service)}",
        {"profile": name, "version": version},
        fields=("seq",),
    )
    text = f"{service} runs under {name} with {version}, seq {answer['seq']}"
    if wait:
        shared.progress(f"accepted {text}")
        waiting.wait_until_in_force(
            shared, seq=answer["seq"], timeout_ms=timeout_ms
        )
        text = f"{text}, in force on all nodes"
    shared.show(answer, text)


def _in_force(shared: tool.Tool, name: str) -> dict[str, typing.Any]:
    return shared.client.get(
        f"/profiles/{admin_client.quoted(name)}",
        fields=("version", "profile"),
    )


def _body(document: dict[str, typing.Any]) -> str:
    return json.dumps(document, indent=2, sort_keys=True) + "\n"
