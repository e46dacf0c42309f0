"""Measures the latency that nodes add to a call.

Runs `python -m bench.added_latency`: real daemons, stand-ins for platform and
targets, and a bare echo server as the control, all on loopback. An
open loop runs at several rates and alternates between the paths.
"""

import json
import pathlib
import tempfile
import time
import typing

import anyio
import click

from bench import latency_fleet
from bench import latency_load
from bench import latency_report

_RATES = "20,100,200"
_WARM_UP_CALLS = 100
_WARM_UP_WIDTH = 20
# Cold limits and slow start of nodes end after 10 s.
_SETTLE_S = 11.0
_RESULTS = "bench/results/added_latency.json"


class Path(typing.NamedTuple):
    """A path that calls take.

    Attributes:
        name: `control`, `direct`, `one_node` or `two_nodes`.
        caller: Sends calls.
        node_ids: Nodes on the path.
    """

    name: str
    caller: latency_load.HttpCaller | latency_load.EchoCaller
    node_ids: tuple[str, ...] = ()


def _paths(fleet: latency_fleet.LatencyFleet) -> list[Path]:
    first, second = fleet.instances
    http = latency_load.HttpCaller
    path = "/catalogue/designs"
    return [
        Path("control", latency_load.EchoCaller(fleet.echo_address)),
        Path("direct", http(first.target_address, "/designs")),
        Path("one_node", http(first.call_address, path), (first.node_id,)),
        Path(
            "two_nodes",
            http(second.call_address, path),
            (first.node_id, second.node_id),
        ),
    ]


async def _measure(
    fleet: latency_fleet.LatencyFleet,
    rates: list[int],
    duration_s: float,
    rounds: int,
) -> list[dict]:
    paths = _paths(fleet)
    await anyio.sleep(_SETTLE_S)
    for path in paths:
        await _warm_up(path)
    rows = []
    for rate in rates:
        latencies = {path.name: latency_load.Latencies() for path in paths}
        for _ in range(rounds):
            for path in paths:
                await _slice(
                    fleet, path, latencies[path.name], rate, duration_s
                )
        rows.append(latency_report.row(rate, latencies))
    for path in paths:
        await path.caller.close()
    return rows


async def _warm_up(path: Path) -> None:
    for _ in range(_WARM_UP_CALLS // _WARM_UP_WIDTH):
        async with anyio.create_task_group() as tasks:
            for number in range(_WARM_UP_WIDTH):
                tasks.start_soon(path.caller.send, number)


async def _slice(
    fleet: latency_fleet.LatencyFleet,
    path: Path,
    latencies: latency_load.Latencies,
    rate: int,
    duration_s: float,
) -> None:
    before_s = fleet.cpu_s(path.node_ids)
    await latencies.run(path.caller.send, rate=rate, duration_s=duration_s)
    latencies.cpu_s += fleet.cpu_s(path.node_ids) - before_s


@click.command()
@click.option("--duration-s", default=2.0, show_default=True)
@click.option("--rounds", default=4, show_default=True)
@click.option("--rates", default=_RATES, show_default=True)
@click.option("--output", default=_RESULTS, show_default=True)
def main(duration_s: float, rounds: int, rates: str, output: str) -> None:
    """Prints a table; writes it as JSON, with a plot beside it."""
    with tempfile.TemporaryDirectory() as name:
        fleet = latency_fleet.LatencyFleet(pathlib.Path(name))
        try:
            fleet.start()
            start_s = time.monotonic()
            rows = anyio.run(
                _measure,
                fleet,
                [int(rate) for rate in rates.split(",")],
                duration_s,
                rounds,
                backend_options={"use_uvloop": True},
            )
        finally:
            fleet.stop()
    click.echo(latency_report.table(rows))
    result = {"duration_s": round(time.monotonic() - start_s), "rows": rows}
    path = pathlib.Path(output)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(result, indent=2) + "\n", encoding="utf-8")
    latency_report.plot(rows, path.with_suffix(".png"))


if __name__ == "__main__":
    main()
