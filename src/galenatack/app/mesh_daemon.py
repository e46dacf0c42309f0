"""The daemon of a node that runs on a shared platform."""

import asyncio
import logging
import pathlib
import signal
import sys

import uvloop

from galenatack import exceptions
from galenatack.app import log_writer
from galenatack.app import mesh_node
from galenatack.app import mesh_wiring
from galenatack.app import settings_follower
from galenatack.platform import settings_document
from galenatack.settings import mesh_settings

EXIT_SETTINGS = 2


def main() -> None:
    """Runs a node until SIGTERM or SIGINT, then drains and exits 0.

    Exit statuses: 0 stopped gracefully, 2 errors in the settings.
    """
    file = settings_document.path()
    try:
        settings = settings_document.load(file)
    except exceptions.SettingsError as error:
        print(f"level=ERROR event=settings-refused detail={str(error)!r}")
        sys.exit(EXIT_SETTINGS)
    _set_up_log(settings.node_id)
    uvloop.run(_serve(file, settings))
    logging.shutdown()


def _set_up_log(node_id: str) -> None:
    handler = log_writer.LogWriter(descriptor=sys.stdout.fileno())
    handler.setFormatter(
        logging.Formatter(
            f"%(asctime)s.%(msecs)03d node={node_id} level=%(levelname)s"
            " %(message)s",
            datefmt="%Y-%m-%dT%H:%M:%S",
        )
    )
    logging.basicConfig(level=logging.INFO, handlers=[handler])
    logging.getLogger("websockets").setLevel(logging.WARNING)


async def _serve(
    file: pathlib.Path, settings: mesh_settings.MeshSettings
) -> None:
    parts = mesh_wiring.compose(settings)
    follower = settings_follower.SettingsFollower(
        file=file,
        settings=settings,
        load=settings_document.load,
        apply=lambda changed: node.apply(changed),
        clock=parts.clock,
    )
    node = mesh_node.MeshNode(parts, follow_settings=follower.run)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.request_stop)
    loop.add_signal_handler(signal.SIGHUP, follower.request_reload)
    await node.run()


if __name__ == "__main__":
    main()
