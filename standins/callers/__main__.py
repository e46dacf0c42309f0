"""Command line of the stand-in callers."""

import json

import anyio
import click

from standins.callers import caller
from standins.callers import options as options_module


@click.command()
@click.option("--nodes", required=True, help="host:port, comma separated.")
@click.option("--service", required=True)
@click.option("--rate", default=20.0, show_default=True)
@click.option("--duration-s", default=10.0, show_default=True)
@click.option("--posting-share", default=0.1, show_default=True)
@click.option("--ticket-share", default=0.5, show_default=True)
@click.option("--read-path", default="/lots", show_default=True)
@click.option("--posting-path", default="/offers", show_default=True)
@click.option("--deadline-ms", default=2000, show_default=True)
@click.option("--attempts", default=4, show_default=True)
@click.option("--seed", default=1, show_default=True)
def main(nodes: str, **values) -> None:
    """Sends calls and prints one JSON summary; fails on wrong answers."""
    options = options_module.CallerOptions(
        nodes=tuple(nodes.split(",")), **values
    )
    callers = caller.Callers(options)
    anyio.run(callers.run, backend_options={"use_uvloop": True})
    print(json.dumps(callers.record.as_json()))
    if callers.record.wrong:
        raise SystemExit(1)


if __name__ == "__main__":
    main()
