"""Command line of the soak: `python -m soak --seed N --rounds M`."""

import asyncio
import collections.abc
import itertools
import pathlib
import sys
import tempfile
import time
import typing

import click

from soak import node_process
from soak import regressions as regressions_module
from soak import run

S_PER_MIN = 60.0
PRODUCT = str(node_process.ROOT)


class Case(typing.NamedTuple):
    """Parameters of one run."""

    seed: int
    nodes: int
    seconds: float
    has_deadly: bool = False
    has_restores: bool = False
    has_reader_faults: bool = False
    has_changes: bool = False
    product: str = PRODUCT


@click.command()
@click.option("--seed", default=0, help="First seed; 0 draws a fresh one.")
@click.option("--rounds", default=1, help="Number of seeds.")
@click.option("--minutes", default=0.0, help="Run seeds for this long.")
@click.option("--nodes", default=9, help="Node processes of a run.")
@click.option("--seconds", default=20.0, help="Time with faults of a run.")
@click.option(
    "--regressions", is_flag=True, help="Run the seeds that once failed."
)
@click.option(
    "--deadly", is_flag=True, help="Send a request that crashes targets."
)
@click.option(
    "--restores",
    is_flag=True,
    help="Restore the store from copies during a rollout.",
)
@click.option(
    "--readers",
    is_flag=True,
    help="Make the store silent to its readers, or lag behind.",
)
@click.option(
    "--changes",
    is_flag=True,
    help="Change a large configuration all the time, between two regions.",
)
@click.option(
    "--product",
    default=PRODUCT,
    help="Run the nodes of the checkout in this folder.",
)
@click.option("--keep", help="Keep settings and logs in this folder.")
def main(
    *,
    seed: int,
    rounds: int,
    minutes: float,
    nodes: int,
    seconds: float,
    regressions: bool,
    deadly: bool,
    restores: bool,
    readers: bool,
    changes: bool,
    product: str,
    keep: str | None,
) -> None:
    """Runs seeds one after the other; exits with 1 when a promise broke."""
    broken = []
    seeds_run = []
    end_s = time.monotonic() + minutes * S_PER_MIN
    cases = (
        _regression_cases()
        if regressions
        else _successive_cases(seed, nodes, seconds)
    )
    for case in cases:
        is_enough = len(seeds_run) >= rounds and time.monotonic() >= end_s
        if is_enough and not regressions:
            break
        seeds_run.append(case.seed)
        case = case._replace(
            has_deadly=deadly,
            has_restores=restores,
            has_reader_faults=readers,
            has_changes=changes,
            product=product,
        )
        if _report(case, _run_one(case, keep)):
            broken.append(case.seed)
    click.echo(f"{len(seeds_run)} seeds, {len(broken)} broken: {broken}")
    sys.exit(1 if broken else 0)


def _successive_cases(
    seed: int, nodes: int, seconds: float
) -> collections.abc.Iterator[Case]:
    """Yields cases with successive seeds; seed 0 starts from the clock."""
    first = seed or int(time.time()) % 1_000_000
    for number in itertools.count(first):
        yield Case(number, nodes, seconds)


def _regression_cases() -> collections.abc.Iterator[Case]:
    for regression in regressions_module.REGRESSIONS:
        yield Case(regression.seed, regression.nodes, regression.seconds)


def _report(case: Case, result: run.Result) -> bool:
    """Prints a result; returns whether a promise was broken."""
    click.echo(f"seed {case.seed}: {result.summary}")
    if not result.findings:
        return False
    click.echo(f"  faults: {', '.join(result.faults)}")
    for line in result.findings:
        click.echo(f"  BROKEN {line}")
    click.echo(
        f"  repeat: python -m soak --seed {case.seed} --nodes {case.nodes}"
        f" --seconds {case.seconds:g}{' --deadly' * case.has_deadly}"
        f"{' --restores' * case.has_restores}"
        f"{' --readers' * case.has_reader_faults}"
        f"{' --changes' * case.has_changes}"
        f"{f' --product {case.product}' * (case.product != PRODUCT)}"
        " --keep FOLDER"
    )
    return True


def _run_one(case: Case, keep: str | None) -> run.Result:
    with tempfile.TemporaryDirectory() as scratch:
        folder = pathlib.Path(keep or scratch) / f"seed-{case.seed}"
        folder.mkdir(parents=True, exist_ok=True)
        return asyncio.run(
            run.SoakRun(
                seed=case.seed,
                nodes=case.nodes,
                seconds=case.seconds,
                folder=folder,
                has_deadly=case.has_deadly,
                has_restores=case.has_restores,
                has_reader_faults=case.has_reader_faults,
                has_changes=case.has_changes,
                product=pathlib.Path(case.product),
            ).execute()
        )


if __name__ == "__main__":
    main()
