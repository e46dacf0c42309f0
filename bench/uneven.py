"""Compares counting and estimates: `python -m bench.uneven`."""

import statistics

import click

from bench import overload_tally
from bench import overload_world
from bench import uneven_work

KINDS = ("light", "heavy")
SCENES = {
    "a: kinds differ 10 times": uneven_work.Scene(),
    "a, speeds 0.5 to 1.6": uneven_work.Scene(speeds=uneven_work.UNEVEN_SPEEDS),
    "b: nothing shows the cost": uneven_work.Scene(is_hidden=True),
    "b, with slow spells": uneven_work.Scene(
        is_hidden=True, has_slow_spells=True
    ),
    "c: slow spells": uneven_work.Scene(has_slow_spells=True),
    "c, speeds 0.5 to 1.6": uneven_work.Scene(
        has_slow_spells=True, speeds=uneven_work.UNEVEN_SPEEDS
    ),
    "a, 4 data centres, 12 slots": uneven_work.Scene(
        places=overload_world.PLACES, slots=12
    ),
}


@click.command()
@click.option("--seeds", default=5, help="Number of seeds.")
@click.option("--factor", default=0.8, help="Load as a share of the capacity.")
def main(*, seeds: int, factor: float) -> None:
    """Prints how long calls take by counting and by estimates.

    For each kind: share in its objective (mean of the seeds, and the lowest),
    50th and 99th percentile of the latency in ms.
    """
    columns = [
        f"{kind} {column}"
        for kind in KINDS
        for column in ("in time", "p50", "p99")
    ]
    click.echo(f"| scene | by | {' | '.join(columns)} |")
    click.echo("| --- " * (2 + len(columns)) + "|")
    for name, scene in SCENES.items():
        for by in ("counting", "estimates"):
            played = scene._replace(uses_estimates=by == "estimates")
            tallies = [
                overload_world.play(
                    overload_world.Load(
                        seed,
                        factor,
                        is_limited=False,
                        warm_s=10.0,
                        seconds=20.0,
                        scene=played,
                    )
                )
                for seed in range(1, 1 + seeds)
            ]
            cells = [cell for kind in KINDS for cell in _cells(tallies, kind)]
            click.echo(f"| {name} | {by} | {' | '.join(cells)} |")


def _cells(tallies: list[overload_tally.Tally], kind: str) -> tuple[str, ...]:
    shares = [tally.share_in_time(kind) for tally in tallies]
    halves = [statistics.median(tally.latencies_ms[kind]) for tally in tallies]
    tails = [tally.p99_ms(kind) for tally in tallies]
    return (
        f"{statistics.mean(shares):.3f} ({min(shares):.3f})",
        f"{statistics.mean(halves):.0f}",
        f"{statistics.mean(tails):.0f}",
    )


if __name__ == "__main__":
    main()
