"""Measures the latency that one node adds to a call.

Runs `python -m bench.added_latency`: the stand-in target and one node in
processes of their own on loopback, an open loop at several rates, direct and
through the node in turns.
"""

import json
import os
import subprocess
import sys
import time

import anyio
import click
import hdrh.histogram
import httpcore

from bench import free_ports
from bench import loopback

_RATES = "20,100,200"
_LONGEST_US = 10_000_000
_DIGITS = 3
_US_PER_S = 1_000_000
_US_PER_MS = 1000
_START_TIMEOUT_S = 15.0
_WARM_UP_CALLS = 100
_SERVICE_MS = 5.0
_PERCENTILES = (50.0, 99.0, 99.9)


class Load:
    """An open loop of reads against one address.

    Attributes:
        histogram: Latencies from the planned send time, in microseconds.
        failures: Calls without a 200.
    """

    def __init__(self, address: str, path: str):
        self._url = f"http://{address}{path}"
        self.histogram = hdrh.histogram.HdrHistogram(1, _LONGEST_US, _DIGITS)
        self.failures = 0

    async def run(self, *, rate: int, duration_s: float) -> None:
        """Sends `rate` calls a second whether answers come or not."""
        async with (
            httpcore.AsyncConnectionPool(
                max_connections=100,
                max_keepalive_connections=100,
                keepalive_expiry=60.0,
            ) as pool,
            anyio.create_task_group() as tasks,
        ):
            for number in range(_WARM_UP_CALLS):
                await self._call(pool, number, None)
            start_s = time.monotonic()
            for number in range(int(rate * duration_s)):
                planned_s = start_s + number / rate
                await anyio.sleep(max(0.0, planned_s - time.monotonic()))
                tasks.start_soon(self._call, pool, number, planned_s)

    async def _call(
        self, pool: httpcore.AsyncConnectionPool, number: int, planned_s
    ) -> None:
        response = await pool.request("GET", f"{self._url}/{number}")
        if planned_s is None:
            return
        elapsed_us = int((time.monotonic() - planned_s) * _US_PER_S)
        self.histogram.record_value(max(1, elapsed_us))
        body = json.loads(response.content)
        if response.status != 200 or not body["path"].endswith(f"/{number}"):
            self.failures += 1


def _start(*arguments: str) -> subprocess.Popen:
    return subprocess.Popen([sys.executable, "-m", *arguments])


async def _wait_for(address: str) -> None:
    host, _, port = address.rpartition(":")
    with anyio.fail_after(_START_TIMEOUT_S):
        while True:
            try:
                stream = await anyio.connect_tcp(host, int(port))
            except OSError:
                await anyio.sleep(0.05)
            else:
                await stream.aclose()
                return


async def _measure(
    target: str,
    node: str,
    rates: list[int],
    duration_s: float,
    rounds: int,
) -> list[dict]:
    await _wait_for(target)
    await _wait_for(node)
    rows = []
    for rate in rates:
        direct = Load(target, "/x")
        through = Load(node, "/prices/x")
        for _ in range(rounds):
            await direct.run(rate=rate, duration_s=duration_s)
            await through.run(rate=rate, duration_s=duration_s)
        rows.append(_row(rate, direct, through))
    return rows


def _row(rate: int, direct: Load, through: Load) -> dict:
    row = {
        "rate": rate,
        "calls": through.histogram.total_count,
        "failures": direct.failures + through.failures,
    }
    for percentile in _PERCENTILES:
        before = direct.histogram.get_value_at_percentile(percentile)
        after = through.histogram.get_value_at_percentile(percentile)
        row[f"p{percentile:g}"] = {
            "direct_ms": round(before / _US_PER_MS, 3),
            "node_ms": round(after / _US_PER_MS, 3),
            "added_ms": round((after - before) / _US_PER_MS, 3),
        }
    return row


@click.command()
@click.option("--duration-s", default=5.0, show_default=True)
@click.option("--rounds", default=2, show_default=True)
@click.option("--rates", default=_RATES, show_default=True)
@click.option("--uvloop/--no-uvloop", default=True)
def main(duration_s: float, rounds: int, rates: str, uvloop: bool) -> None:
    """Prints one JSON line for each rate."""
    print(json.dumps({"loopback_round_trip_ms": loopback.round_trip_ms()}))
    target, node = (f"127.0.0.1:{port}" for port in free_ports.free_ports(2))
    processes = [
        _start(
            "standins.target", "--address", target, "--service", "prices",
            "--version", "v1", "--slots", "18", "--cold-calls", "0",
            "--service-ms", str(_SERVICE_MS), "--spread", "0",
        ),
        _start(
            "bench.one_node", "--address", node,
            "--target-url", f"http://{target}",
            "--uvloop" if uvloop else "--no-uvloop",
        ),
    ]  # fmt: skip
    usages = []
    try:
        rows = anyio.run(
            _measure,
            target,
            node,
            [int(rate) for rate in rates.split(",")],
            duration_s,
            rounds,
            backend_options={"use_uvloop": True},
        )
    finally:
        for process in processes:
            process.terminate()
            usages.append(os.wait4(process.pid, 0)[2])
    for row in rows:
        print(json.dumps(row))
    cpu_s = usages[-1].ru_utime + usages[-1].ru_stime
    warm_up = _WARM_UP_CALLS * rounds * len(rows)
    calls = warm_up + sum(row["calls"] for row in rows)
    print(json.dumps({"node_cpu_ms_per_call": round(cpu_s * 1000 / calls, 3)}))


if __name__ == "__main__":
    main()
