"""Command line of the demo."""

import pathlib
import shutil
import sys

import click

from standins.demo import deployment
from standins.demo import report
from standins.demo import scenario


@click.command()
@click.option(
    "--deployment",
    "name",
    type=click.Choice(["cocotera", "tartu"]),
    default="cocotera",
    show_default=True,
)
def main(name: str) -> None:
    """Runs a deployment on loopback; fails when any of it failed."""
    folder = pathlib.Path("run") / name
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    loaded = deployment.load(name)
    outcome = scenario.Scenario(loaded, folder).run()
    problems = report.show(loaded, outcome, str(folder))
    for problem in problems:
        print(f"FAILED: {problem}")
    sys.exit(1 if problems else 0)


if __name__ == "__main__":
    main()
