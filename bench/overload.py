"""Command line of the overload benchmark: `python -m bench.overload`."""

import collections.abc
import itertools
import statistics

import click

from bench import overload_policies
from bench import overload_world

FACTORS = (0.5, 0.8, 1.0, 1.2, 1.5, 2.0, 3.0)
COLUMNS = (
    "in time",
    "late",
    "refused",
    "tries refused",
    "sent to the other region",
)


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
    "--policy",
    "policies",
    multiple=True,
    type=click.Choice(list(overload_policies.POLICIES)),
    default=("current",),
    help="Policy of queues and placement.",
)
def main(
    *, seeds: int, factors: tuple[float, ...], policies: tuple[str, ...]
) -> None:
    """Prints what callers get at a load of 0.5 to 3 times the capacity.

    The first columns are requests as a share of the capacity, the mean of all
    seeds with the lowest and the highest; then the share of each class in its
    objective, and the 99th percentile of its latency in ms.
    """
    names = [kind.name for kind in overload_world.CLASSES]
    click.echo(
        _row(
            "policy",
            "limited",
            "load",
            *COLUMNS,
            *(f"{name} in time" for name in names),
            *(f"{name} p99" for name in names),
        )
    )
    click.echo(_row(*["---"] * (3 + len(COLUMNS) + 2 * len(names))))
    for policy, is_limited, factor in itertools.product(
        policies, (False, True), factors
    ):
        loads = [
            overload_world.Load(seed, factor, is_limited, policy)
            for seed in range(1, 1 + seeds)
        ]
        limited = "yes" if is_limited else "no"
        click.echo(_row(policy, limited, f"{factor:g}", *_cells(loads)))


def _cells(
    loads: collections.abc.Sequence[overload_world.Load],
) -> collections.abc.Iterator[str]:
    runs = [figures(load, overload_world.play(load)) for load in loads]
    for column, values in enumerate(zip(*runs, strict=True)):
        if column >= len(COLUMNS) + len(overload_world.CLASSES):
            yield f"{statistics.mean(values):.0f}"
        else:
            yield (
                f"{statistics.mean(values):.3f}"
                f" ({min(values):.3f} to {max(values):.3f})"
            )


def figures(
    load: overload_world.Load, tally: overload_world.Tally
) -> tuple[float, ...]:
    """Returns the figures of one run, in the order of the columns."""
    capacity = overload_world.capacity_per_s(load) * load.seconds
    counts = (
        tally.count("in-time"),
        tally.count("late"),
        tally.count("refused"),
        tally.tries_refused,
        tally.crossed,
    )
    return (
        *(count / capacity for count in counts),
        *(tally.share_in_time(kind.name) for kind in overload_world.CLASSES),
        *(tally.p99_ms(kind.name) for kind in overload_world.CLASSES),
    )


def _row(*cells: str) -> str:
    return f"| {' | '.join(cells)} |"


if __name__ == "__main__":
    main()
