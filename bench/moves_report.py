"""Figures and the plot of the benchmark of moves."""

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
    good = [item for item in results if item.case.kind == moves_cases.GOOD]
    bad = [item for item in results if item.case.kind != moves_cases.GOOD]
    met = [item for item in bad if item.first_fault_s >= 0.0]
    back = [item for item in bad if item.phase == "taken_back"]
    shares = [item.fault_calls / max(1, item.calls) for item in bad]
    return {
        "good": len(good),
        "good_done_in_time": sum(item.done_in_time for item in good),
        "good_called_faulty": sum(item.withdrawn_s >= 0 for item in good),
        "bad": len(bad),
        "bad_taken_back": len(back),
        "bad_called_faulty": sum(item.withdrawn_s >= 0 for item in bad),
        "fault_share_mean": float(numpy.mean(shares)) if shares else 0.0,
        "fault_share_p90": float(numpy.quantile(shares, 0.9)) if shares else 0,
        "from_first_fault_s": _tail(
            item.last_new_s - item.first_fault_s
            for item in met
            if item.withdrawn_s >= item.first_fault_s
        ),
        "from_shown_s": _tail(
            item.last_new_s - item.shown_s
            for item in met
            if item.shown_s >= 0.0 and item.withdrawn_s >= 0.0
        ),
    }


def grouped(results: Results, name: str) -> dict[str, dict[str, object]]:
    """Returns the figures by one field of the case."""
    groups: dict[str, list[moves_result.Result]] = {}
    for item in results:
        groups.setdefault(str(getattr(item.case, name)), []).append(item)
    return {key: figures(groups[key]) for key in sorted(groups)}


def missed(results: Results) -> list[dict[str, object]]:
    """Returns every case that did not end as it should."""
    return [
        item._asdict() | {"case": item.case._asdict()}
        for item in results
        if (item.case.kind == moves_cases.GOOD) != item.done_in_time
    ]


def write(
    directory: pathlib.Path, sides: dict[str, Results]
) -> dict[str, object]:
    """Writes JSON and plot, and returns what the JSON holds."""
    directory.mkdir(parents=True, exist_ok=True)
    found: dict[str, object] = {
        side: {
            "all": figures(results),
            **{
                name: grouped(results, name)
                for name in ("deployment", "rate_per_s", "when", "kind")
            },
        }
        for side, results in sides.items()
    }
    found["missed"] = missed(sides["product"])
    text = json.dumps(found, indent=1, sort_keys=True)
    (directory / "moves.json").write_text(text + "\n", encoding="utf-8")
    _plot(directory / "moves.png", sides)
    return found


def _tail(values_s: collections.abc.Iterable[float]) -> dict[str, float]:
    hist = histogram.HdrHistogram(1, MAX_MS, 3)
    for value_s in values_s:
        hist.record_value(max(1, int(value_s * MS_PER_S)))
    if not hist.get_total_count():
        return {}
    found = {
        f"p{percentile:g}": hist.get_value_at_percentile(percentile) / MS_PER_S
        for percentile in PERCENTILES
    }
    return found | {"count": hist.get_total_count()}


def _plot(path: pathlib.Path, sides: dict[str, Results]) -> None:
    figure, axes = pyplot.subplots(1, 2, figsize=(10, 4))
    for label, results in sides.items():
        shares = sorted(
            item.fault_calls / max(1, item.calls)
            for item in results
            if item.case.kind != moves_cases.GOOD
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
