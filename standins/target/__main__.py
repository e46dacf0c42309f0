"""Command line of the stand-in target."""

import signal

import anyio
import click

from galenatack.links import http_server
from standins.target import app as app_module
from standins.target import options as options_module


@click.command()
@click.option("--address", required=True, help="host:port to listen on.")
@click.option("--service", required=True)
@click.option("--version", required=True)
@click.option("--slots", default=12, show_default=True)
@click.option("--connections", default=100, show_default=True)
@click.option("--service-ms", default=20.0, show_default=True)
@click.option("--spread", default=0.3, show_default=True)
@click.option("--cold-calls", default=20, show_default=True)
@click.option("--cold-factor", default=3.0, show_default=True)
@click.option("--seed", default=1, show_default=True)
def main(address: str, **values) -> None:
    """Runs a stand-in target until SIGTERM or SIGINT."""
    app = app_module.TargetApp(options_module.TargetOptions(**values))
    anyio.run(serve, app, address, backend_options={"use_uvloop": True})


async def serve(app: app_module.TargetApp, address: str) -> None:
    """Serves the application until a signal arrives."""
    shutdown = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_set_on_signal, shutdown)
        await http_server.serve(app, address=address, shutdown=shutdown)
        tasks.cancel_scope.cancel()


async def _set_on_signal(shutdown: anyio.Event) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            shutdown.set()
            return


if __name__ == "__main__":
    main()
