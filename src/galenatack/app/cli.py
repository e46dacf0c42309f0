"""The `galenatack` command-line tool."""

import json
import traceback
import typing

import click

from galenatack import exceptions
from galenatack.app import admin_client
from galenatack.app import exit_status
from galenatack.app import next_steps
from galenatack.app import tool
from galenatack.app import tool_clock
from galenatack.app.commands import config
from galenatack.app.commands import explain
from galenatack.app.commands import explain_route
from galenatack.app.commands import fleet
from galenatack.app.commands import move
from galenatack.app.commands import profile
from galenatack.app.commands import status
from galenatack.app.commands import timeline

DEFAULT_NODE = "127.0.0.1:7003"
OUTPUTS = ("text", "json")


class _Group(click.Group):
    """Reports a failure as a message, a next step and an exit status."""

    def invoke(self, ctx: click.Context) -> typing.Any:
        """Runs the command."""
        try:
            return super().invoke(ctx)
        except exceptions.GalenatackError as error:
            _print_error(error, is_json=ctx.params.get("output") == "json")
            ctx.exit(exit_status.exit_status_for(error))
        except (click.ClickException, click.exceptions.Exit):
            raise
        except (KeyboardInterrupt, click.Abort, BrokenPipeError):
            ctx.exit(exit_status.ExitStatus.INTERRUPTED)
        except Exception:
            # Python's own status 1 would mean that a move was taken back.
            click.echo(traceback.format_exc(), err=True)
            ctx.exit(exit_status.ExitStatus.INTERNAL)


def _show_version(
    ctx: click.Context, param: click.Parameter, value: bool
) -> None:
    del param
    if not value or ctx.resilient_parsing:
        return
    # Imported late: it slows the start of every other command.
    from importlib import metadata

    try:
        version = metadata.version("galenatack")
    except metadata.PackageNotFoundError:
        version = "unknown: run from a source tree, not installed"
    click.echo(f"galenatack {version}")
    ctx.exit()


@click.group(cls=_Group, epilog=exit_status.HELP)
@click.option(
    "--node",
    "nodes",
    envvar="GALENATACK_NODE",
    multiple=True,
    default=(DEFAULT_NODE,),
    show_default=True,
    metavar="HOST:PORT",
    help="Admin address; repeat it to name nodes to try in turn.",
)
@click.option(
    "--token",
    envvar="GALENATACK_TOKEN",
    default="",
    help="Bearer token; better set in GALENATACK_TOKEN.",
)
@click.option(
    "--ca",
    envvar="GALENATACK_CA",
    default="",
    help="Certificates to trust; turns TLS on.",
)
@click.option(
    "--cert",
    envvar="GALENATACK_CERT",
    default="",
    help="Certificate of the operator.",
)
@click.option(
    "--key",
    envvar="GALENATACK_KEY",
    default="",
    help="Private key of the operator.",
)
@click.option(
    "--output",
    type=click.Choice(OUTPUTS),
    default=OUTPUTS[0],
    show_default=True,
    help="Form of the result on standard output.",
)
@click.option(
    "--version",
    is_flag=True,
    is_eager=True,
    expose_value=False,
    callback=_show_version,
    help="Show the version and exit.",
)
@click.pass_context
def cli(
    ctx: click.Context,
    nodes: tuple[str, ...],
    token: str,
    ca: str,
    cert: str,
    key: str,
    output: str,
) -> None:
    """Operates a galenatack deployment through the admin API of its nodes.

    The options up to --key can be set in the environment, such as
    GALENATACK_NODE (several are divided by spaces) and GALENATACK_TOKEN.
    """
    environment = ctx.obj or tool.Environment(None, tool_clock.ToolClock())
    client = admin_client.AdminClient(
        nodes=nodes,
        token=token,
        tls=admin_client.tls_context(ca, cert, key),
        transport=environment.transport,
    )
    ctx.call_on_close(client.close)
    ctx.obj = tool.Tool(client, environment.clock, output == "json")


cli.add_command(config.config)
cli.add_command(explain.explain)
cli.add_command(explain_route.explain_route)
cli.add_command(fleet.fleet)
cli.add_command(move.move)
cli.add_command(profile.profile)
cli.add_command(status.status)
cli.add_command(timeline.timeline)


def main() -> None:
    """Runs the tool."""
    cli()


def _print_error(error: exceptions.GalenatackError, *, is_json: bool) -> None:
    step = next_steps.next_step_for(error)
    if not is_json:
        click.echo(f"error: {error}\nnext: {step}", err=True)
        return
    report: dict[str, object] = {"error": error.code, "detail": str(error)}
    if isinstance(error, exceptions.AdminRefusedError):
        report.update(error.facts, error=error.reason)
    click.echo(json.dumps({**report, "next": step}), err=True)


if __name__ == "__main__":
    main()
