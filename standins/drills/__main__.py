"""Command line of the drills."""

import importlib
import pathlib
import shutil
import sys
import time

import click

from standins.drills import result as result_module

NAMES = ("stop", "kill", "herd", "freeze", "cut", "outage", "rate")


@click.command()
@click.argument("names", nargs=-1, type=click.Choice(NAMES))
def main(names: tuple[str, ...]) -> None:
    """Runs the named drills, or all; fails when one of them failed."""
    has_failed = False
    for name in names or NAMES:
        start_s = time.monotonic()
        result = _run(name)
        _show(name, result, time.monotonic() - start_s)
        has_failed = has_failed or bool(result.problems)
    sys.exit(1 if has_failed else 0)


def _run(name: str) -> result_module.Result:
    folder = pathlib.Path("run") / "drills" / name
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    drill = importlib.import_module(f"standins.drills.{name}")
    try:
        return drill.run(folder)
    except Exception as error:
        # The other drills still run; the table shows the failure.
        problem = f"{type(error).__name__}: {error}"
        return result_module.Result("ended early", {}, [problem])


def _show(name: str, result: result_module.Result, elapsed_s: float) -> None:
    verdict = "FAIL" if result.problems else "pass"
    print(f"{name:8} {verdict}  {result.done} ({elapsed_s:.0f} s)")
    for key, value in result.figures.items():
        print(f"{'':15}{key}: {value}")
    for problem in result.problems:
        print(f"{'':15}FAILED: {problem}")
    sys.stdout.flush()


if __name__ == "__main__":
    main()
