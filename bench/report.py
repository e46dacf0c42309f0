"""Writes the figures of a run as JSON, as a table and as a plot."""

import collections.abc
import json
import pathlib

from bench import bounds

RESULTS = pathlib.Path("bench/results")
_PLOT_INCHES = (9, 5)

Checks = collections.abc.Sequence[bounds.Check]


def table(checks: Checks) -> str:
    """Returns a Markdown table with one row per figure."""
    lines = ["| Figure | Value | Bound | |", "| --- | ---: | ---: | --- |"]
    for check in checks:
        limit = f"{check.bound.max:g}" if check.bound else ""
        lines.append(
            f"| {check.name} | {check.value:.5g} | {limit} |"
            f" {_verdict(check)} |"
        )
    return "\n".join(lines) + "\n"


def write(checks: Checks, context: dict[str, object]) -> None:
    """Writes `summary.json` and `table.md`."""
    RESULTS.mkdir(parents=True, exist_ok=True)
    summary = {
        "context": context,
        "figures": {
            check.name: {
                "value": check.value,
                "bound": check.bound.max if check.bound else None,
                "source": check.bound.source if check.bound else None,
                "missed": check.is_missed,
            }
            for check in checks
        },
    }
    text = json.dumps(summary, indent=1) + "\n"
    (RESULTS / "summary.json").write_text(text, encoding="utf-8")
    (RESULTS / "table.md").write_text(table(checks), encoding="utf-8")


def plot(checks: Checks) -> None:
    """Plots the convergence times."""
    convergence = [
        check for check in checks if check.name.startswith("convergence.")
    ]
    if not convergence:
        return
    # Imported here, as the deterministic run needs no plots.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=_PLOT_INCHES, layout="tight")
    names = [check.name.removeprefix("convergence.") for check in convergence]
    axes.barh(names, [check.value for check in convergence])
    axes.set_xlabel("ms from acceptance to in force on the last node")
    axes.invert_yaxis()
    figure.savefig(RESULTS / "convergence.svg")
    pyplot.close(figure)


def _verdict(check: bounds.Check) -> str:
    if check.bound is None:
        return ""
    return "missed" if check.is_missed else "met"
