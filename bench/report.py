"""Writes the figures of a run as JSON, as a table and as a plot."""

import collections.abc
import json
import pathlib

from bench import bounds

RESULTS = pathlib.Path("bench/results")
_PLOT_INCHES = (9, 5)

Checks = collections.abc.Sequence[bounds.Check]


def table(checks: Checks) -> str:
    """Returns one line for each figure."""
    lines = ["| Figure | Value | Bound | |", "| --- | ---: | ---: | --- |"]
    for item in checks:
        limit = f"{item.bound.max:g}" if item.bound else ""
        lines.append(
            f"| {item.name} | {item.value:.5g} | {limit} | {_word(item)} |"
        )
    return "\n".join(lines) + "\n"


def write(checks: Checks, context: dict[str, object]) -> None:
    """Writes `summary.json` and `table.md`."""
    RESULTS.mkdir(parents=True, exist_ok=True)
    summary = {
        "context": context,
        "figures": {
            item.name: {
                "value": item.value,
                "bound": item.bound.max if item.bound else None,
                "source": item.bound.source if item.bound else None,
                "missed": item.is_missed,
            }
            for item in checks
        },
    }
    text = json.dumps(summary, indent=1) + "\n"
    (RESULTS / "summary.json").write_text(text, encoding="utf-8")
    (RESULTS / "table.md").write_text(table(checks), encoding="utf-8")


def plot(checks: Checks) -> None:
    """Draws the convergence times against their bound."""
    found = [item for item in checks if item.name.startswith("convergence.")]
    if not found:
        return
    # Imported here: the deterministic run needs no plots.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=_PLOT_INCHES, layout="tight")
    names = [item.name.removeprefix("convergence.") for item in found]
    axes.barh(names, [item.value for item in found])
    axes.set_xlabel("ms from acceptance to in force on the last node")
    axes.invert_yaxis()
    figure.savefig(RESULTS / "convergence.svg")
    pyplot.close(figure)


def _word(item: bounds.Check) -> str:
    if item.bound is None:
        return ""
    return "missed" if item.is_missed else "met"
