"""Runs benchmarks and compares their figures with the bounds."""

import os
import sys
import time

import click

from bench import bounds
from bench import deterministic
from bench import idle_scale
from bench import memory
from bench import real_nodes
from bench import report

FLEET_SIZES = (12, 48, 128)

DETERMINISTIC = {
    "peer_bytes": deterministic.peer_bytes_figures,
    "deltas": deterministic.delta_figures,
    "virtual": deterministic.virtual_figures,
}

MEASURED = {
    "memory": memory.figures,
    "idle_scale": idle_scale.figures,
} | {f"nodes-{count}": real_nodes.Run(count).figures for count in FLEET_SIZES}

ALL = DETERMINISTIC | MEASURED


@click.command()
@click.argument("names", nargs=-1, type=click.Choice(list(ALL)))
@click.option(
    "--deterministic",
    "only_deterministic",
    is_flag=True,
    help="Run only what gives the same figures in each run.",
)
def main(names: tuple[str, ...], only_deterministic: bool) -> None:
    """Runs the named benchmarks, or all; fails on a missed bound."""
    chosen = DETERMINISTIC if only_deterministic else ALL
    figures: bounds.Figures = {}
    checks: tuple[bounds.Check, ...] = ()
    start_s = time.monotonic()
    load_before = os.getloadavg()[0]
    for name, run in chosen.items():
        if not names or name in names:
            click.echo(f"bench {name}", err=True)
            figures |= run()
            checks = bounds.check(figures, bounds.load())
            # Written after each benchmark, as a later one may fail.
            if not only_deterministic:
                report.write(checks, _context(start_s, load_before))
    click.echo(report.table(checks))
    if not only_deterministic:
        report.plot(checks)
    bounded = [item for item in checks if item.bound]
    missed = [item for item in bounded if item.is_missed]
    click.echo(f"{len(bounded) - len(missed)} passed, {len(missed)} failed")
    sys.exit(1 if missed or not checks else 0)


def _context(start_s: float, load_before: float) -> dict[str, object]:
    return {
        "cores": os.cpu_count(),
        "load_before": load_before,
        "elapsed_s": round(time.monotonic() - start_s, 1),
        "python": sys.version.split()[0],
    }


if __name__ == "__main__":
    main()
