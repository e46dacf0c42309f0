"""The daemon `galenatackd`: one node for one target instance."""

import logging
import signal
import sys

import anyio
import click

from galenatack import exceptions
from galenatack.app import composition
from galenatack.app import node as node_module
from galenatack.settings import loader
from galenatack.settings import node_settings

EXIT_SETTINGS = 2

_log = logging.getLogger(__name__)


@click.command()
@click.option(
    "--settings",
    "settings_file",
    required=True,
    type=click.Path(dir_okay=False),
    help="Settings file in YAML; see docs/OPERATIONS.md.",
)
def main(settings_file: str) -> None:
    """Runs a node until SIGTERM or SIGINT, then drains and exits 0.

    Exit statuses: 0 stopped gracefully, 2 errors in the settings.
    """
    try:
        settings = loader.load(settings_file)
        _set_up_logs(settings)
        anyio.run(_serve, settings, backend_options={"use_uvloop": True})
    except exceptions.SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_SETTINGS)


def _set_up_logs(settings: node_settings.NodeSettings) -> None:
    logging.basicConfig(
        level=settings.log_level,
        format=f"%(asctime)s level=%(levelname)s node={settings.node_id}"
        " %(message)s",
        stream=sys.stderr,
    )
    for noisy in ("httpx", "httpcore", "websockets", "hypercorn.error"):
        logging.getLogger(noisy).setLevel(logging.WARNING)
    trust = settings.trust
    if trust.mode == "none":
        _log.warning("event=trust-off detail=links are not encrypted")
    if not trust.operator_tokens and not trust.viewer_tokens:
        _log.warning("event=roles-off detail=every operator call is allowed")


async def _serve(settings: node_settings.NodeSettings) -> None:
    node = node_module.Node(composition.compose(settings))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_stop_on_signal, node)
        await node.run()
        tasks.cancel_scope.cancel()


async def _stop_on_signal(node: node_module.Node) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            node.request_stop()
            return


if __name__ == "__main__":
    main()
