"""The table and the plot of the latency benchmark."""

import collections.abc
import pathlib

from bench import latency_load

_MS_PER_S = 1000
_PATHS = ("control", "direct", "one_node", "two_nodes")
_NODE_PATHS = ("one_node", "two_nodes")
_DIGITS = 3


def row(
    rate: int, measured: collections.abc.Mapping[str, latency_load.Latencies]
) -> dict:
    """Returns the figures of one rate as a JSON value."""
    result = {"rate": rate}
    direct = measured["direct"]
    for name, latencies in measured.items():
        calls = latencies.histogram.total_count
        figures = {"calls": calls, "failures": latencies.failures}
        for percentile in latency_load.PERCENTILES:
            value_ms = latencies.percentile_ms(percentile)
            figures[f"p{percentile:g}_ms"] = round(value_ms, _DIGITS)
            if name in _NODE_PATHS:
                added_ms = value_ms - direct.percentile_ms(percentile)
                key = f"added_p{percentile:g}_ms"
                figures[key] = round(added_ms, _DIGITS)
        if name in _NODE_PATHS:
            cpu_ms = latencies.cpu_s * _MS_PER_S / calls
            figures["cpu_ms_per_call"] = round(cpu_ms, _DIGITS)
        result[name] = figures
    return result


def table(rows: list[dict]) -> str:
    """Returns the figures as text, one line per rate and path."""
    lines = [
        f"{'rate':>5} {'path':<10} {'calls':>6} {'fail':>5}"
        f" {'p50':>8} {'p99':>8} {'p99.9':>8}"
        f" {'+p50':>8} {'+p99':>8} {'+p99.9':>8} {'cpu/call':>8}  (ms)"
    ]
    for item in rows:
        lines += [_line(item["rate"], name, item[name]) for name in _PATHS]
    return "\n".join(lines)


def _line(rate: int, name: str, figures: dict) -> str:
    keys = [f"p{percentile:g}_ms" for percentile in latency_load.PERCENTILES]
    keys += [f"added_{key}" for key in keys]
    cells = [figures.get(key) for key in (*keys, "cpu_ms_per_call")]
    text = " ".join(
        f"{'' if cell is None else format(cell, '.3f'):>8}" for cell in cells
    )
    return (
        f"{rate:>5} {name:<10} {figures['calls']:>6}"
        f" {figures['failures']:>5} {text}"
    )


def plot(rows: list[dict], path: pathlib.Path) -> None:
    """Plots the added latency over the rate."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    rates = [item["rate"] for item in rows]
    figure, axes = pyplot.subplots()
    for name in _NODE_PATHS:
        for percentile in latency_load.PERCENTILES:
            key = f"added_p{percentile:g}_ms"
            values = [item[name][key] for item in rows]
            label = f"{name} p{percentile:g}"
            axes.plot(rates, values, marker="o", label=label)
    axes.set_xlabel("calls a second")
    axes.set_ylabel("added latency, ms")
    axes.set_ylim(bottom=0)
    axes.legend()
    figure.savefig(path)
    pyplot.close(figure)
