"""Figures and plots of the moves benchmark."""

import collections.abc
import json
import pathlib

from hdrh import histogram
from matplotlib import pyplot
import numpy

from bench import moves_cases
from bench import moves_result

Results = collections.abc.Sequence[moves_result.Result]

MAX_MS = 3_600_000
MS_PER_S = 1000.0
PERCENTILES = (50.0, 90.0, 99.0, 100.0)


def figures(results: Results) -> dict[str, object]:
    """Returns the figures of one set of results."""
    good = [
        result for result in results if result.case.kind == moves_cases.GOOD
    ]
    bad = [result for result in results if result.case.kind != moves_cases.GOOD]
    affected = [result for result in bad if result.first_fault_s >= 0.0]
    taken_back = [result for result in bad if result.phase == "taken_back"]
    shares = [result.fault_calls / max(1, result.calls) for result in bad]
    return {
        "good": len(good),
        "good_done_in_time": sum(result.done_in_time for result in good),
        "good_called_faulty": sum(result.withdrawn_s >= 0 for result in good),
        "bad": len(bad),
        "bad_taken_back": len(taken_back),
        "bad_called_faulty": sum(result.withdrawn_s >= 0 for result in bad),
        "fault_share_mean": float(numpy.mean(shares)) if shares else 0.0,
        "fault_share_p90": float(numpy.quantile(shares, 0.9)) if shares else 0,
        "from_first_fault_s": _percentiles(
            result.last_new_s - result.first_fault_s
            for result in affected
            if result.withdrawn_s >= result.first_fault_s
        ),
        "from_shown_s": _percentiles(
            result.last_new_s - result.shown_s
            for result in affected
            if result.shown_s >= 0.0 and result.withdrawn_s >= 0.0
        ),
    }


def grouped(results: Results, name: str) -> dict[str, dict[str, object]]:
    """Returns the figures grouped by one field of the case."""
    groups: dict[str, list[moves_result.Result]] = {}
    for result in results:
        groups.setdefault(str(getattr(result.case, name)), []).append(result)
    return {key: figures(groups[key]) for key in sorted(groups)}


def missed(results: Results) -> list[dict[str, object]]:
    """Returns all results with a wrong or late verdict."""
    return [
        result._asdict() | {"case": result.case._asdict()}
        for result in results
        if (result.case.kind == moves_cases.GOOD) != result.done_in_time
    ]


def write(
    directory: pathlib.Path, sides: dict[str, Results]
) -> dict[str, object]:
    """Writes the JSON file and the plot; returns the JSON value."""
    directory.mkdir(parents=True, exist_ok=True)
    summary: dict[str, object] = {
        side: {
            "all": figures(results),
            **{
                name: grouped(results, name)
                for name in ("deployment", "rate_per_s", "when", "kind")
            },
        }
        for side, results in sides.items()
    }
    summary["missed"] = missed(sides["product"])
    text = json.dumps(summary, indent=1, sort_keys=True)
    (directory / "moves.json").write_text(text + "\n", encoding="utf-8")
    _plot(directory / "moves.png", sides)
    return summary


def _percentiles(values_s: collections.abc.Iterable[float]) -> dict[str, float]:
    hist = histogram.HdrHistogram(1, MAX_MS, 3)
    for value_s in values_s:
        hist.record_value(max(1, int(value_s * MS_PER_S)))
    if not hist.get_total_count():
        return {}
    summary = {
        f"p{percentile:g}": hist.get_value_at_percentile(percentile) / MS_PER_S
        for percentile in PERCENTILES
    }
    return summary | {"count": hist.get_total_count()}


def _plot(path: pathlib.Path, sides: dict[str, Results]) -> None:
    figure, axes = pyplot.subplots(1, 2, figsize=(10, 4))
    for label, results in sides.items():
        shares = sorted(
            result.fault_calls / max(1, result.calls)
            for result in results
            if result.case.kind != moves_cases.GOOD
        )
        ranks = numpy.arange(1, len(shares) + 1) / max(1, len(shares))
        axes[0].step(numpy.maximum(shares, 1e-5), ranks, label=label)
    axes[0].set_xscale("log")
    axes[0].set_xlabel("share of calls that met the fault")
    axes[0].set_ylabel("share of bad versions")
    axes[0].legend()
    _plot_rates(axes[1], sides)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _plot_rates(axis: pyplot.Axes, sides: dict[str, Results]) -> None:
    rates = [str(rate) for rate in moves_cases.RATES_PER_S]
    for label, results in sides.items():
        groups = grouped(results, "rate_per_s")
        for total, part in (
            ("good", "good_done_in_time"),
            ("bad", "bad_taken_back"),
        ):
            values = [
                groups[rate][part] / max(1, groups[rate][total])
                for rate in rates
                if rate in groups
            ]
            known = [rate for rate in rates if rate in groups]
            axis.plot(known, values, marker="o", label=f"{label} {part}")
    axis.set_xlabel("calls/s of the service")
    axis.set_ylim(0.0, 1.05)
    axis.legend(fontsize=7)
