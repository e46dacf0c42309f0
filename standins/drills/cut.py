"""Partitions of a data centre from the others and from the platform."""

import pathlib
import signal
import threading
import time
import typing

from standins.demo import instance as instance_module
from standins.drills import mesh as mesh_module
from standins.drills import result

CUT_S = 15.0
PUBLISHES = 5
LIMIT_S = 5.0
SAMPLE_S = 0.1
RATE = 30
LOAD_S = 22
BEFORE_S = 2.0
RELAY = "relay"


def run(folder: pathlib.Path) -> result.Result:
    """Runs the drill."""
    mesh = mesh_module.Mesh(folder)
    relay = instance_module.free_addresses(1)[0]
    cut_off = mesh.instances_in(mesh.data_centres()[-1])
    mesh.use_platform([item.node_id for item in cut_off], relay)
    mesh.processes.start(
        RELAY,
        "standins.drills.relay",
        *("--address", relay),
        *("--to", mesh.platform),
    )
    with mesh:
        drill = _Cut(mesh, cut_off)
        drill.cut_from_all()
        drill.cut_from_platform()
        return drill.result()


class _Cut:
    def __init__(
        self,
        mesh: mesh_module.Mesh,
        cut_off: list[instance_module.Instance],
    ):
        self._mesh = mesh
        self._cut_off = cut_off
        self._others = [item for item in mesh.instances if item not in cut_off]
        self._figures: dict[str, typing.Any] = {}
        self._problems: list[str] = []
        self._highest: dict[str, int] = {}
        self._stop_event = threading.Event()

    def cut_from_all(self) -> None:
        """Partitions a data centre, publishes elsewhere and heals."""
        mesh = self._mesh
        mesh.start_callers(
            "callers",
            self._cut_off,
            rate=RATE,
            duration_s=LOAD_S,
            posting_share=0.3,
            attempts=1,
        )
        time.sleep(BEFORE_S)
        watch = threading.Thread(target=self._watch_order)
        watch.start()
        try:
            self._cut_and_heal()
        finally:
            self._stop_event.set()
            watch.join()
        summary = mesh.wait_for_callers("callers")
        self._figures["replies behind the cut"] = summary["replies"]
        self._figures["calls behind the cut"] = summary["outcomes"]
        reads = summary["outcomes"]
        lost = sum(
            count
            for name, count in reads.items()
            if name.startswith("read ") and name != "read answer"
        )
        if lost:
            self._problems.append(f"{lost} reads behind the cut failed")
        if summary["wrong"]:
            self._problems.append(f"{summary['wrong']} wrong answers")

    def cut_from_platform(self) -> None:
        """Partitions a data centre from the platform only, and publishes."""
        mesh = self._mesh
        mesh.processes.send(RELAY, signal.SIGSTOP)
        time.sleep(BEFORE_S)
        late_s = [
            mesh.wait_for_seq(mesh.publish(), self._cut_off)
            for _ in range(PUBLISHES)
        ]
        mesh.processes.send(RELAY, signal.SIGCONT)
        self._check_times(
            "cut from the platform only, in force after (s)", late_s
        )

    def result(self) -> result.Result:
        """Returns the result of the drill."""
        return result.Result(
            f"a data centre cut off from everything for {CUT_S:.0f} s, then"
            " from the platform only",
            self._figures,
            self._problems,
        )

    def _cut_and_heal(self) -> None:
        mesh = self._mesh
        own = self._cut_off[0].data_centre
        names = [name for name in mesh.data_centres() if name != own]
        before = max(mesh.running().values())
        mesh.cut(self._cut_off, names)
        mesh.cut(self._others, [own])
        mesh.processes.send(RELAY, signal.SIGSTOP)
        start_s = time.monotonic()
        last = max(mesh.publish() for _ in range(PUBLISHES))
        elsewhere_s = mesh.wait_for_seq(last, self._others)
        time.sleep(max(0.0, CUT_S - (time.monotonic() - start_s)))
        if max(mesh.running(self._cut_off).values()) > before:
            self._problems.append("the cut let changes through")
        mesh.processes.send(RELAY, signal.SIGCONT)
        mesh.cut(mesh.instances, [])
        self._check_times(
            "in force elsewhere meanwhile after (s)", [elsewhere_s]
        )
        caught_up_s = mesh.wait_for_seq(last, self._cut_off)
        self._check_times("caught up after healing (s)", [caught_up_s])

    def _check_times(self, name: str, times_s: list[float | None]) -> None:
        self._figures[name] = [
            None if item is None else round(item, 2) for item in times_s
        ]
        if any(item is None or item > LIMIT_S for item in times_s):
            self._problems.append(f"{name}: {self._figures[name]}")

    def _watch_order(self) -> None:
        """Reports each node whose seq in force decreases."""
        while not self._stop_event.wait(SAMPLE_S):
            for node_id, seq in self._mesh.running().items():
                highest = self._highest.get(node_id, 0)
                if seq < highest:
                    self._problems.append(
                        f"{node_id} went back from {highest} to {seq}"
                    )
                self._highest[node_id] = max(seq, highest)
