"""Benchmark of moves: the product against a naive rule, on all cases.

Run by `python -m bench.moves [--repeats N] [--seed N] [--processes N]`.
All times are virtual; the same seed gives the same figures.
"""

import functools
import multiprocessing
import pathlib

import click

from bench import moves_cases
from bench import moves_naive
from bench import moves_report
from bench import moves_run

RESULTS = pathlib.Path(__file__).parent / "results"


def _print_figures(name: str, figures: dict[str, object]) -> None:
    click.echo(
        f"{name:24} good done in time {figures['good_done_in_time']}"
        f"/{figures['good']} (called faulty {figures['good_called_faulty']}), "
        f"bad taken back {figures['bad_taken_back']}/{figures['bad']} "
        f"(called faulty {figures['bad_called_faulty']}), "
        f"calls that met the fault {figures['fault_share_mean']:.2%} mean"
    )


def _print_side(side: str, figures: dict[str, object]) -> None:
    _print_figures(f"{side} all", figures["all"])
    for name in ("deployment", "rate_per_s", "when"):
        for key, part in figures[name].items():
            _print_figures(f"  {key}", part)
    click.echo(f"  s from first fault: {figures['all']['from_first_fault_s']}")
    click.echo(f"  s from fault shown: {figures['all']['from_shown_s']}")


@click.command()
@click.option("--repeats", default=1, help="Cases of each combination.")
@click.option("--seed", default=1, help="Seed of all cases.")
@click.option("--processes", default=4, help="Worker processes.")
@click.option("--every", default=1, help="Take each n-th case only.")
@click.option("--list-missed", is_flag=True, help="Print wrong endings.")
def main(
    *, repeats: int, seed: int, processes: int, every: int, list_missed: bool
) -> None:
    """Runs all cases and writes `bench/results/moves.json` and `.png`."""
    cases = moves_cases.make(seed=seed, repeats=repeats)[::every]
    with multiprocessing.Pool(processes) as pool:
        product = pool.map(moves_run.run, cases, chunksize=2)
        naive = pool.map(moves_naive.run, cases, chunksize=2)
        relative = pool.map(
            functools.partial(moves_naive.run, is_relative=True),
            cases,
            chunksize=2,
        )
    sides = {"product": product, "naive": naive, "naive-relative": relative}
    figures = moves_report.write(RESULTS, sides)
    for side in sides:
        _print_side(side, figures[side])
    if list_missed:
        for item in figures["missed"]:
            case = item["case"]
            click.echo(
                f"  {case['deployment']} {case['kind']} {case['when']} "
                f"{case['severity']} rate={case['rate_per_s']} "
                f"onset={case['onset_s']:.0f} route={case['route']} "
                f"seed={case['seed']} -> {item['phase']} "
                f"{item['verdict_s']:.0f} s: {item['reason']}"
            )


if __name__ == "__main__":
    main()
