"""Starts the platform stand-in: `python -m standins.platform`."""

import asyncio

import click

from standins.platform import app
from standins.platform import server


@click.command()
@click.option("--address", required=True, help="host:port to listen on.")
@click.option(
    "--writes-per-s", default=app.DEFAULT_WRITES_PER_S, show_default=True
)
@click.option(
    "--reads-per-s", default=app.DEFAULT_READS_PER_S, show_default=True
)
def main(address: str, writes_per_s: int, reads_per_s: int) -> None:
    """Serves the table service and the object store from memory."""
    application = app.PlatformApp(
        writes_per_s=writes_per_s, reads_per_s=reads_per_s
    )
    asyncio.run(server.serve(address, application=application))


if __name__ == "__main__":
    main()
