"""Repeats all seeded randomised runs with successive seeds.

Run by `python -m tests.soak --seed N --minutes M`.
"""

import collections
import collections.abc
import logging
import sys
import time
import traceback
import typing

import click

from galenatack.invariants import violations
from tests.config import test_random_faults
from tests.fakes import virtual_run
from tests.membership import random_run as membership_run
from tests.moves import random_run as moves_run
from tests.postings import random_run as postings_run
from tests.routing import test_posting_truth
from tests.whole import whole_run

S_PER_MIN = 60.0


class Report(typing.NamedTuple):
    """Result of one run.

    Attributes:
        steps: Number of calls, changes or events, depending on the run.
        faults: Faults injected, by kind.
        wrong: Violations that were recorded but not raised.
    """

    steps: int
    faults: collections.abc.Mapping[str, int] = {}
    wrong: collections.abc.Sequence[str] = ()


def _config(seed: int) -> Report:
    fault_run = test_random_faults.FaultRun(seed)
    virtual_run.run(fault_run.run, seed=seed)
    return Report(len(fault_run.accepted), fault_run.faults)


def _postings(seed: int) -> Report:
    run = postings_run.RandomRun(seed)
    run.execute()
    steps = sum(run.outcomes.values())
    return Report(steps, {"restart": run.restarts}, run.violations)


def _data_path(seed: int) -> Report:
    test_posting_truth.TestPostingTruth()._run(seed)
    return Report(test_posting_truth._KEYS)


def _membership(seed: int) -> Report:
    run = membership_run.RandomRun(seed)
    run.execute()
    return Report(sum(run.faults.values()), run.faults)


def _moves(seed: int) -> Report:
    run = moves_run.RandomRun(seed)
    run.execute()
    return Report(run.calls, run.faults)


def _whole(seed: int) -> Report:
    run = whole_run.WholeRun(seed)
    run.execute()
    return Report(len(run.world.trace), run.world.faults)


RUNS: dict[str, collections.abc.Callable[[int], Report]] = {
    "config": _config,
    "postings": _postings,
    "data-path": _data_path,
    "membership": _membership,
    "moves": _moves,
    "whole": _whole,
}


def _run_one(name: str, seed: int) -> tuple[Report, list[str]]:
    """Returns the report and the violations of one run."""
    violations.reset()
    try:
        report = RUNS[name](seed)
    except Exception as error:
        # In an exception group the violation is the innermost exception.
        lines = traceback.format_exception(error)
        return Report(0), [_innermost(error), "".join(lines)]
    # A violation may have been raised in a task that handled it.
    counted = [f"{code}: {n}" for code, n in violations.counts().items()]
    return report, [*report.wrong, *counted]


def _innermost(error: BaseException) -> str:
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return f"{type(error).__name__}: {error}"


@click.command()
@click.option("--seed", default=1, help="First seed.")
@click.option("--minutes", default=1.0, help="Time after which no run starts.")
@click.option("--rounds", type=int, help="Seeds to run, instead of a time.")
@click.option(
    "--only", multiple=True, type=click.Choice(list(RUNS)), help="Runs to do."
)
@click.option("--verbose", is_flag=True, help="Print tracebacks.")
def main(
    *,
    seed: int,
    minutes: float,
    rounds: int | None,
    only: tuple[str, ...],
    verbose: bool,
) -> None:
    """Runs and exits with 1 when an invariant was violated."""
    end_s = time.monotonic() + minutes * S_PER_MIN
    faults: collections.Counter[str] = collections.Counter()
    steps: collections.Counter[str] = collections.Counter()
    runs: collections.Counter[str] = collections.Counter()
    violation_count = 0
    current_seed = seed
    is_time_up = False
    while not is_time_up and (rounds is None or current_seed < seed + rounds):
        for name in only or RUNS:
            report, problems = _run_one(name, current_seed)
            runs[name] += 1
            steps[name] += report.steps
            for kind, count in report.faults.items():
                faults[f"{name}: {kind}"] += count
            if problems:
                violation_count += 1
                shown = "\n".join(problems) if verbose else problems[0]
                click.echo(f"VIOLATION {name} seed {current_seed}: {shown}")
                click.echo(
                    "  repeat: python -m tests.soak --rounds 1"
                    f" --seed {current_seed} --only {name} --verbose"
                )
            is_time_up = rounds is None and time.monotonic() > end_s
            if is_time_up:
                break
        current_seed += 1
    for name, count in runs.items():
        click.echo(f"{name}: {count} runs, {steps[name]} steps")
    for kind, count in sorted(faults.items()):
        click.echo(f"  {kind}: {count}")
    click.echo(
        f"seeds {seed} to {current_seed - 1}, {violation_count} violations"
    )
    sys.exit(1 if violation_count else 0)


if __name__ == "__main__":
    # Not in `main`, which tests call within their own process.
    logging.disable(logging.CRITICAL)
    main()
