"""Command line of the overload benchmark: `python -m bench.overload`."""

import collections.abc
import itertools
import statistics
import typing

import click

from bench import overload_crowd
from bench import overload_features
from bench import overload_tally
from bench import overload_world

FACTORS = (0.5, 0.8, 1.0, 1.2, 1.5, 2.0, 3.0)
COLUMNS = (
    "in time",
    "late",
    "refused",
    "failed",
    "tries refused",
    "sent to the other region",
)

CASES: dict[str, dict[str, typing.Any]] = {
    "plain": {},
    "crowd": {"crowd": overload_crowd.Crowd()},
    "nested": {"nested": 0.5},
    "nested-less-urgent": {
        "nested": 0.5,
        "part": overload_world.PART._replace(priority=2),
    },
}


@click.command()
@click.option("--seeds", default=3, help="Number of seeds.")
@click.option(
    "--factor",
    "factors",
    multiple=True,
    type=float,
    default=FACTORS,
    help="Offered load as a multiple of the capacity.",
)
@click.option(
    "--case",
    "cases",
    multiple=True,
    type=click.Choice(list(CASES)),
    default=("plain",),
    help="Who sends the requests, and whether their runs make calls.",
)
@click.option(
    "--without",
    type=click.Choice(list(overload_features.WITHOUT)),
    default="nothing",
    help="Feature that is off.",
)
def main(
    *,
    seeds: int,
    factors: tuple[float, ...],
    cases: tuple[str, ...],
    without: str,
) -> None:
    """Prints what callers get at a load of 0.5 to 3 times the capacity.

    The first columns are requests as a share of the capacity, the mean of all
    seeds with the lowest and the highest; then the share of each class in its
    objective, the 99th percentile of its latency in ms, and with tenants what
    the hot one and the least served other one got of their fair shares.
    """
    names = [kind.name for kind in overload_world.CLASSES]
    click.echo(
        _row(
            "case",
            "limited",
            "load",
            *COLUMNS,
            *(f"{name} in time" for name in names),
            *(f"{name} p99" for name in names),
            "hot",
            "least other",
        )
    )
    click.echo(_row(*["---"] * (5 + len(COLUMNS) + 2 * len(names))))
    features = overload_features.WITHOUT[without]
    for case, is_limited, factor in itertools.product(
        cases, (False, True), factors
    ):
        loads = [
            overload_world.Load(
                seed, factor, is_limited, features=features, **CASES[case]
            )
            for seed in range(1, 1 + seeds)
        ]
        limited = "yes" if is_limited else "no"
        click.echo(_row(case, limited, f"{factor:g}", *_cells(loads)))


def _cells(
    loads: collections.abc.Sequence[overload_world.Load],
) -> collections.abc.Iterator[str]:
    runs = [figures(load, overload_world.play(load)) for load in loads]
    for column, values in enumerate(zip(*runs, strict=True)):
        classes = len(overload_world.CLASSES)
        if 0 <= column - len(COLUMNS) - classes < classes:
            yield f"{statistics.mean(values):.0f}"
        else:
            yield (
                f"{statistics.mean(values):.3f}"
                f" ({min(values):.3f} to {max(values):.3f})"
            )


def figures(
    load: overload_world.Load, tally: overload_tally.Tally
) -> tuple[float, ...]:
    """Returns the figures of one run, in the order of the columns."""
    capacity = overload_world.capacity_per_s(load) * load.seconds
    counts = (
        tally.count("in-time"),
        tally.count("late"),
        tally.count("refused"),
        tally.count("failed"),
        tally.tries_refused,
        tally.crossed,
    )
    return (
        *(count / capacity for count in counts),
        *(tally.share_in_time(kind.name) for kind in overload_world.CLASSES),
        *(tally.p99_ms(kind.name) for kind in overload_world.CLASSES),
        *tenant_figures(load, tally),
    )


def tenant_figures(
    load: overload_world.Load, tally: overload_tally.Tally
) -> tuple[float, float]:
    """Returns what the hot and the least served other tenant got.

    Both are shares of what is fair; 0 without tenants.
    """
    if load.crowd is None:
        return 0.0, 0.0
    capacity = overload_world.capacity_per_s(load) * load.seconds
    hot, *others = (
        tally.served[f"t{number}"] / (capacity * share)
        for number, share in enumerate(load.crowd.fair_shares(load.factor))
    )
    return hot, min(others)


def _row(*cells: str) -> str:
    return f"| {' | '.join(cells)} |"


if __name__ == "__main__":
    main()
