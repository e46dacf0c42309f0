"""The soak: `python -m soak --seed N --rounds M`."""

import asyncio
import pathlib
import sys
import tempfile
import time

import click

from soak import run

S_PER_MIN = 60.0


@click.command()
@click.option("--seed", default=0, help="First seed; 0 draws a fresh one.")
@click.option("--rounds", default=1, help="Number of seeds.")
@click.option("--minutes", default=0.0, help="Run seeds for this long.")
@click.option("--nodes", default=9, help="Node processes of a run.")
@click.option("--seconds", default=20.0, help="Time with faults of a run.")
@click.option("--keep", help="Keep settings and logs in this folder.")
def main(
    *,
    seed: int,
    rounds: int,
    minutes: float,
    nodes: int,
    seconds: float,
    keep: str | None,
) -> None:
    """Runs seeds one after the other; exits with 1 when a promise broke."""
    first = seed or int(time.time()) % 1_000_000
    end_s = time.monotonic() + minutes * S_PER_MIN
    broken = []
    number = first
    while number < first + rounds or time.monotonic() < end_s:
        result = _run_one(number, nodes, seconds, keep)
        click.echo(f"seed {number}: {result.summary}")
        if result.findings:
            broken.append(number)
            click.echo(f"  faults: {', '.join(result.faults)}")
            for line in result.findings:
                click.echo(f"  BROKEN {line}")
            click.echo(
                f"  repeat: python -m soak --seed {number} --nodes {nodes}"
                f" --seconds {seconds:g} --keep FOLDER"
            )
        number += 1
    click.echo(f"seeds {first} to {number - 1}, {len(broken)} broken: {broken}")
    sys.exit(1 if broken else 0)


def _run_one(
    number: int, nodes: int, seconds: float, keep: str | None
) -> run.Result:
    with tempfile.TemporaryDirectory() as scratch:
        folder = pathlib.Path(keep or scratch) / f"seed-{number}"
        folder.mkdir(parents=True, exist_ok=True)
        return asyncio.run(
            run.SoakRun(
                seed=number, nodes=nodes, seconds=seconds, folder=folder
            ).execute()
        )


if __name__ == "__main__":
    main()
