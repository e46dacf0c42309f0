"""The daemon of a node that runs on a shared platform."""

import asyncio
import logging
import signal
import sys

import uvloop

from galenatack import exceptions
from galenatack.app import mesh_node
from galenatack.app import mesh_wiring
from galenatack.platform import settings_document

EXIT_SETTINGS = 2

_LOGGER = logging.getLogger(__name__)


def main() -> None:
    """Runs a node until SIGTERM or SIGINT, then drains and exits 0.

    Exit statuses: 0 stopped gracefully, 2 errors in the settings.
    """
    logging.basicConfig(
        level=logging.INFO,
        format="%(asctime)s level=%(levelname)s %(message)s",
        stream=sys.stdout,
    )
    logging.getLogger("websockets").setLevel(logging.WARNING)
    try:
        settings = settings_document.load(settings_document.path())
    except exceptions.SettingsError as error:
        _LOGGER.error("event=settings-refused detail=%r", str(error))
        sys.exit(EXIT_SETTINGS)
    uvloop.run(_serve(mesh_node.MeshNode(mesh_wiring.compose(settings))))


async def _serve(node: mesh_node.MeshNode) -> None:
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.request_stop)
    loop.add_signal_handler(signal.SIGHUP, _note_hup)
    await node.run()


def _note_hup() -> None:
    _LOGGER.info("event=reload-requested")


if __name__ == "__main__":
    main()
