"""Convergence, traffic, CPU time and platform load of real nodes."""

import collections.abc
import pathlib
import shutil
import statistics
import time

import click
import httpx
import yaml

from bench import bounds
from bench import fleet as fleet_module
from bench import usage as usage_module
from standins.demo import convergence

FOLDER = pathlib.Path("run") / "bench"
PUBLISHES = 20
FAULT_PUBLISHES = 8
PAUSE_S = 0.5
SPREAD_S = 6.0
# Links to seeds are closed after 30 s without use.
SEED_LINKS_S = 35.0
IDLE_S = 12.0
BUSY_S = 12.0
MOVE_S = 15.0
MOVE_TIME_S = 55
CHANGES_PER_S = 2.0
SLOW_MS = 300
# Every second node restarts, which is all nodes of half of the data centres.
HERD_EVERY = 2
CHANGES_PER_DAY = 2300
SECONDS_PER_DAY = 86_400
_MS_PER_S = 1000


class Run:
    """One run of a fleet through all phases.

    Args:
        count: Number of nodes.
    """

    def __init__(self, count: int):
        self._count = count
        self._figures: bounds.Figures = {}
        self._published = 0

    def figures(self) -> bounds.Figures:
        """Runs all phases; always stops the processes that it started."""
        folder = FOLDER / str(self._count)
        shutil.rmtree(folder, ignore_errors=True)
        folder.mkdir(parents=True)
        self._fleet = fleet_module.Fleet(self._count, folder)
        try:
            start_s = time.monotonic()
            self._fleet.start()
            self._add_figure("start.ready_s", time.monotonic() - start_s)
            for phase in (
                self._choose,
                self._usage,
                self._calm,
                self._slow,
                self._move,
                self._herd,
                self._restart_all,
            ):
                self._run_phase(phase)
        finally:
            self._fleet.stop()
        return self._figures

    def _run_phase(self, phase: collections.abc.Callable[[], None]) -> None:
        """Runs a phase; a failure is recorded as a figure, others continue."""
        name = phase.__name__.removeprefix("_")
        try:
            phase()
        except (httpx.HTTPError, RuntimeError) as error:
            click.echo(f"{name} broke off: {error!r}", err=True)
            self._add_figure(f"broken.{name}.count", 1)

    def _add_figure(self, name: str, value: float) -> None:
        group, _, rest = name.partition(".")
        self._figures[f"{group}.{self._count}.{rest}"] = value

    def _choose(self) -> None:
        for service in self._fleet.services:
            self._publish(service)
            url = f"/admin/v1/services/{service.name}"
            fields = {
                "profile": service.profile_name,
                "version": service.versions[0],
            }
            self._post(url, fields)
        time.sleep(SPREAD_S)

    def _publish(self, service=None) -> int:
        """Publishes through the first node and returns the seq."""
        service = service or self._fleet.services[0]
        profile = yaml.safe_load(service.profile_file.read_text())
        self._published += 1
        profile["routes"][0]["timeout_ms"] = 1000 + self._published
        body = {"profile": profile, "expect": None}
        return self._post("/admin/v1/profiles", body)["seq"]

    def _post(self, path: str, value: object):
        node = self._fleet.instances[0]
        answer = self._fleet.admin.post(node.admin_address, path, value)
        if "error" in answer:
            raise RuntimeError(f"{path}: {answer}")
        return answer

    def _usage(self) -> None:
        time.sleep(SEED_LINKS_S)
        idle = self._measure("idle", IDLE_S)
        before = usage_module.sample(self._fleet)
        changes = 0
        end_s = time.monotonic() + BUSY_S
        while time.monotonic() < end_s:
            self._publish()
            changes += 1
            time.sleep(1 / CHANGES_PER_S)
        after = usage_module.sample(self._fleet)
        busy = usage_module.between(before, after)
        rate = changes / (after.taken_s - before.taken_s)
        self._add_figure("busy.changes_per_s", rate)
        self._figures |= usage_module.by_type(busy, f"busy.{self._count}")
        self._extrapolate(idle, busy, rate)

    def _extrapolate(
        self, idle: usage_module.Usage, busy: usage_module.Usage, rate: float
    ) -> None:
        """Extrapolates the cost of changes to the design rates."""
        pairs = {
            "control.{}.bytes_per_s": "total_bytes_per_s",
            "cpu.{}.core_percent": "cpu_percent",
            "region.{}.sent_bytes_s": "crossing_bytes_per_s",
            "platform.{}.writes_per_s": "writes_per_s",
            "platform.{}.reads_per_s": "reads_per_s",
        }
        for name, field in pairs.items():
            low, high = getattr(idle, field), getattr(busy, field)
            slope = (high - low) / rate
            self._add_figure(f"slope.{field}_at_1_change_per_s", slope)
            for factor in (1, 10):
                load = factor * CHANGES_PER_DAY / SECONDS_PER_DAY
                label = f"changes_x{factor}"
                self._add_figure(name.format(label), low + slope * load)

    def _measure(self, name: str, duration_s: float) -> usage_module.Usage:
        before = usage_module.sample(self._fleet)
        time.sleep(duration_s)
        used = usage_module.between(before, usage_module.sample(self._fleet))
        self._add_figure(f"control.{name}.bytes_per_s", used.total_bytes_per_s)
        self._add_figure(f"cpu.{name}.core_percent", used.cpu_percent)
        self._add_figure(
            f"cpu.{name}.worst.core_percent", used.worst_cpu_percent
        )
        self._add_figure(
            f"region.{name}.sent_bytes_s", used.crossing_bytes_per_s
        )
        self._add_figure(f"platform.{name}.reads_per_s", used.reads_per_s)
        self._add_figure(f"platform.{name}.writes_per_s", used.writes_per_s)
        self._figures |= usage_module.by_type(used, f"{name}.{self._count}")
        resident = [
            self._fleet.metrics(node)["galenatack_process_max_resident_bytes"]
            for node in self._fleet.instances
        ]
        self._add_figure(
            f"resident.{name}.mib", statistics.mean(resident) / 2**20
        )
        return used

    def _calm(self) -> None:
        seqs = []
        for _ in range(PUBLISHES):
            seqs.append(self._publish())
            time.sleep(PAUSE_S)
        self._add_convergence("calm", seqs)

    def _slow(self) -> None:
        self._fleet.set_platform(slow_ms=SLOW_MS)
        seqs = []
        for _ in range(FAULT_PUBLISHES):
            seqs.append(self._publish())
            time.sleep(PAUSE_S)
        self._fleet.set_platform(slow_ms=0)
        self._add_convergence("slow_platform", seqs)

    def _herd(self) -> None:
        """Publishes while half of the nodes restart."""
        nodes = self._fleet.instances
        restarted = nodes[1::HERD_EVERY]
        self._fleet.kill_nodes(restarted)
        self._fleet.start_nodes(restarted)
        seqs = []
        for _ in range(FAULT_PUBLISHES):
            seqs.append(self._publish())
            time.sleep(PAUSE_S)
        self._fleet.wait()
        self._add_convergence("herd", seqs)
        self._add_convergence("herd_survivors", seqs, nodes[::HERD_EVERY])

    def _add_convergence(self, name: str, seqs: list[int], nodes=None) -> None:
        nodes = nodes or self._fleet.instances
        time.sleep(SPREAD_S)
        events = []
        for node in nodes:
            path = "/admin/v1/events"
            events += self._fleet.admin.get(node.admin_address, path)["events"]
        changes = [
            change
            for change in convergence.changes(events)
            if change.seq in set(seqs)
        ]
        reached = min((change.nodes for change in changes), default=0)
        times_ms = sorted(change.converged_ms for change in changes)
        p99 = times_ms[min(len(times_ms) - 1, int(0.99 * len(times_ms)))]
        self._add_figure(
            f"convergence.{name}.median_ms", statistics.median(times_ms)
        )
        self._add_figure(f"convergence.{name}.p99_ms", p99)
        self._add_figure(f"convergence.{name}.worst_ms", times_ms[-1])
        self._add_figure(f"reached.{name}.nodes_missing", len(nodes) - reached)
        self._add_figure(
            f"reached.{name}.changes_missing", len(seqs) - len(changes)
        )

    def _move(self) -> None:
        service = self._fleet.services[1].name
        by_ms = time.time_ns() // 1_000_000 + MOVE_TIME_S * _MS_PER_S
        fields = {"service": service, "to": "v2", "by_ms": by_ms}
        self._post("/admin/v1/moves", fields)
        self._measure("move", MOVE_S)
        node = self._fleet.instances[0]
        self._fleet.cancel_move(node, service)
        time.sleep(SPREAD_S)

    def _restart_all(self) -> None:
        self._fleet.kill_nodes(self._fleet.instances)
        before = self._fleet.platform_stats()
        start_s = time.monotonic()
        self._fleet.start_nodes(self._fleet.instances)
        self._fleet.wait()
        elapsed_s = time.monotonic() - start_s
        after = self._fleet.platform_stats()
        self._add_figure("restart_all.ready_s", elapsed_s)
        for name in ("reads", "writes"):
            total = after[name] - before[name]
            self._add_figure(
                f"platform.restart_all.{name}_per_s", total / elapsed_s
            )
