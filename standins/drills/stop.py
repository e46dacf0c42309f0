"""Drill: graceful stops under load interrupt no call."""

import collections
import pathlib
import signal
import time
import typing

from standins.demo import instance as instance_module
from standins.drills import mesh as mesh_module
from standins.drills import result

ROUNDS = 8
STOPS_PER_ROUND = 2
MIN_IN_FLIGHT = 1_000
LEAVE_LIMIT_MS = 3_000
# With 200 calls/s of 3 s on 8 targets, each one has 75 calls in flight.
SLOTS = 120
SERVICE_MS = 3_000
RATE_PER_DATA_CENTRE = 50
POSTING_SHARE = 0.2
DEADLINE_MS = 12_000
LOAD_S = 115
WARM_UP_S = 6.0
REFILL_S = 3.0
STOP_TIMEOUT_S = 20.0
CUT_S = 1.0
STALE_LOAD_S = 8


def run(folder: pathlib.Path) -> result.Result:
    """Runs the drill."""
    with _mesh(folder) as mesh:
        return _Stop(mesh).run()


def _mesh(folder: pathlib.Path) -> mesh_module.Mesh:
    return mesh_module.Mesh(
        folder,
        slots=SLOTS,
        target_options=(
            *("--service-ms", str(SERVICE_MS)),
            *("--spread", "0.1"),
            *("--cold-calls", "0"),
            *("--connections", str(2 * SLOTS)),
        ),
        profile_changes={
            "routes": {"timeout_ms": DEADLINE_MS},
            "limits": {"slow_start_ms": 1_000, "queue_entries": SLOTS},
        },
    )


class _Stop:
    def __init__(self, mesh: mesh_module.Mesh):
        self._mesh = mesh
        self._statuses: collections.Counter[int] = collections.Counter()
        self._in_flight: list[int] = []
        self._replies: collections.Counter[str] = collections.Counter()
        self._wrong = 0

    def run(self) -> result.Result:
        mesh = self._mesh
        names = mesh.data_centres()
        for number, data_centre in enumerate(names):
            self._start_load(f"callers-{data_centre}", number)
        time.sleep(WARM_UP_S)
        for number in range(ROUNDS):
            self._round(number)
        for data_centre in names:
            self._count(mesh.wait_for_callers(f"callers-{data_centre}"))
        stale = self._stale_round()
        return self._result(stale)

    def _start_load(self, name: str, seed: int) -> None:
        self._mesh.start_callers(
            name,
            self._mesh.instances,
            rate=RATE_PER_DATA_CENTRE,
            duration_s=LOAD_S,
            posting_share=POSTING_SHARE,
            deadline_ms=DEADLINE_MS,
            attempts=1,
            seed=seed + 1,
        )

    def _round(self, number: int) -> None:
        """Restarts two nodes of different data centres gracefully."""
        mesh = self._mesh
        half = len(mesh.instances) // STOPS_PER_ROUND
        stopped = [
            mesh.instances[(number + half * index) % len(mesh.instances)]
            for index in range(STOPS_PER_ROUND)
        ]
        for item in stopped:
            state = mesh.admin.get(item.admin_address, "/admin/v1/node")
            self._in_flight.append(state["in_flight"])
            if number % 2:
                mesh.admin.post(item.admin_address, "/admin/v1/target/leaving")
            mesh.processes.send(item.node_id, signal.SIGTERM)
        for item in stopped:
            status = mesh.processes.wait(item.node_id, timeout_s=STOP_TIMEOUT_S)
            self._statuses[status] += 1
        for item in stopped:
            mesh.start_node(item)
        mesh.wait_until_ready()
        time.sleep(REFILL_S)

    def _count(self, summary: dict[str, typing.Any]) -> None:
        self._replies.update(summary["replies"])
        self._wrong += summary["wrong"]

    def _stale_round(self) -> dict[str, typing.Any]:
        """Lets a target leave while another node is partitioned from it."""
        mesh = self._mesh
        caller, leaving = mesh.instances_in(mesh.data_centres()[0])
        mesh.start_callers(
            "callers-stale",
            [caller],
            rate=RATE_PER_DATA_CENTRE,
            duration_s=STALE_LOAD_S,
            deadline_ms=DEADLINE_MS,
            attempts=1,
            seed=99,
        )
        time.sleep(STALE_LOAD_S / 4)
        mesh.cut([caller], mesh.data_centres())
        before = self._started(leaving)
        mesh.admin.post(leaving.target_address, "/_target/drain")
        mesh.admin.post(leaving.admin_address, "/admin/v1/target/leaving")
        time.sleep(CUT_S)
        mesh.cut([caller], [])
        summary = mesh.wait_for_callers("callers-stale")
        ledger = mesh.ledgers()[leaving.node_id]
        return {
            "late_ms": ledger["late_ms"],
            "started": ledger["started"] - before,
            "replies": summary["replies"],
            "wrong": summary["wrong"],
        }

    def _started(self, item: instance_module.Instance) -> int:
        return self._mesh.ledgers()[item.node_id]["started"]

    def _result(self, stale: dict[str, typing.Any]) -> result.Result:
        cut = {
            name: count
            for name, count in self._replies.items()
            if name.startswith("unknown")
        }
        problems = []
        if cut:
            problems.append(f"calls were cut: {cut}")
        if self._wrong or stale["wrong"]:
            problems.append(f"{self._wrong + stale['wrong']} wrong answers")
        if set(self._statuses) != {0}:
            problems.append(f"exit statuses {dict(self._statuses)}")
        if sum(self._in_flight) < MIN_IN_FLIGHT:
            problems.append("too few calls were in flight")
        if stale["late_ms"] > LEAVE_LIMIT_MS:
            problems.append("a leaving target got new work after 3 s")
        if self._mesh.repeated():
            problems.append("a posting ran twice")
        return result.Result(
            f"{len(self._in_flight)} graceful stops under load, then a leave"
            " that one node could not hear of",
            {
                "in flight at the stops": sum(self._in_flight),
                "replies": dict(self._replies),
                "exit statuses": dict(self._statuses),
                "leave behind a cut": stale,
            },
            problems,
        )
