"""The commands `galenatack move`."""

import typing

import click

from galenatack import exceptions
from galenatack.app import admin_client
from galenatack.app import exit_status
from galenatack.app import time_option
from galenatack.app import tool
from galenatack.app import waiting
from galenatack.model import move_phase

# The verdict is due at the promised time, but reading it can take longer.
VERDICT_GRACE_MS = 60_000


@click.group()
def move() -> None:
    """Shifts the traffic of a service to a new target version."""


@move.command()
@click.argument("service")
@click.option("--to", "to_version", required=True, help="New version.")
@click.option(
    "--by",
    required=True,
    help="Promised time: +10m, +90s or RFC 3339 with an offset.",
)
@click.option("--wait", is_flag=True, help="Wait for the verdict.")
@click.pass_obj
def start(
    shared: tool.Tool, service: str, to_version: str, by: str, wait: bool
) -> None:
    """Starts a move of SERVICE."""
    by_ms = time_option.moment_ms(by, now_ms=shared.clock.wall_ms())
    state = shared.client.change(
        "POST",
        "/moves",
        {"service": service, "to": to_version, "by_ms": by_ms},
        fields=("service", "phase", "by_ms", "to_version"),
    )
    if wait:
        shared.progress(_text(state))
        _finish(shared, _wait(shared, state))
        return
    shared.show(state, _text(state))


@move.command()
@click.argument("service")
@click.pass_obj
def status(shared: tool.Tool, service: str) -> None:
    """Shows the latest move of SERVICE."""
    answer = waiting.read_move(shared, service)
    shared.show(answer, _answer_text(answer))


@move.command()
@click.argument("service")
@click.option("--wait", is_flag=True, help="Wait for the verdict.")
@click.pass_obj
def verdict(shared: tool.Tool, service: str, wait: bool) -> None:
    """Tells the verdict of SERVICE's move: status 0 done, 1 taken back."""
    answer = waiting.read_move(shared, service)
    if wait and not answer["final"]:
        answer = _wait(shared, answer["move"])
    if not answer["final"]:
        raise exceptions.WaitTimeoutError(
            f"{service}: no verdict yet; {_answer_text(answer)}"
        )
    _finish(shared, answer)


@move.command()
@click.argument("service")
@click.pass_obj
def cancel(shared: tool.Tool, service: str) -> None:
    """Takes the open move of SERVICE back."""
    answer = shared.client.change(
        "DELETE",
        f"/moves/{admin_client.quoted(service)}",
        fields=waiting.MOVE_FIELDS,
    )
    shared.show(answer, _answer_text(answer))


def _wait(
    shared: tool.Tool, state: dict[str, typing.Any]
) -> dict[str, typing.Any]:
    left_ms = max(0, state["by_ms"] - shared.clock.wall_ms())
    return waiting.wait_for_verdict(
        shared,
        service=state["service"],
        timeout_ms=left_ms + VERDICT_GRACE_MS,
    )


def _finish(shared: tool.Tool, answer: dict[str, typing.Any]) -> None:
    shared.show(answer, _answer_text(answer))
    if answer["move"]["phase"] != move_phase.MovePhase.DONE:
        click.get_current_context().exit(exit_status.ExitStatus.TAKEN_BACK)


def _answer_text(answer: dict[str, typing.Any]) -> str:
    note = f"\n{answer['note']}" if answer.get("note") else ""
    return f"{_text(answer['move'])}{note}"


def _text(state: dict[str, typing.Any]) -> str:
    lines = [
        f"{state['service']}: {state['phase']}, {state['from_version']} to"
        f" {state['to_version']}, {state['share_permille'] / 10:g}% of the"
        f" calls, promised by {time_option.format_utc(state['by_ms'])}"
    ]
    if state.get("reason"):
        lines.append(f"reason: {state['reason']}")
    figures = state.get("figures") or ()
    pairs = figures.items() if isinstance(figures, dict) else figures
    # Adding 0 turns -0.0 into 0.0, because -0.0 looks like an error.
    lines += [f"  {name}: {value + 0:g}" for name, value in pairs]
    return "\n".join(lines)
