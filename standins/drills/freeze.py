"""Drill: a paused driver is replaced, and its late write is fenced."""

import pathlib
import signal
import time

from standins.drills import mesh as mesh_module
from standins.drills import moving
from standins.drills import result

BY_S = 60.0
FROZEN_S = 12.0
DRIVER_TIMEOUT_S = 10.0
RUN_UP_S = 4.0
FENCE_S = 3.0
SETTLE_S = 3.0
RATE = 120
LOAD_S = 70


def run(folder: pathlib.Path) -> result.Result:
    """Runs the drill."""
    with mesh_module.Mesh(folder, versions=("v1", "v2"), copies=1) as mesh:
        return _run(mesh)


def _run(mesh: mesh_module.Mesh) -> result.Result:
    mesh.start_callers(
        "callers",
        mesh.instances,
        rate=RATE,
        duration_s=LOAD_S,
        posting_share=0.3,
    )
    moving.start(mesh, by_s=BY_S)
    paused = moving.wait_for_driver(mesh, timeout_s=DRIVER_TIMEOUT_S)
    if paused is None:
        raise RuntimeError("no node drives the move")
    time.sleep(RUN_UP_S)
    start_s = time.monotonic()
    mesh.processes.send(paused, signal.SIGSTOP)
    successor = moving.wait_for_driver(
        mesh, other_than=paused, timeout_s=FROZEN_S
    )
    taken_over_s = time.monotonic() - start_s
    time.sleep(max(0.0, FROZEN_S - taken_over_s))
    conflicts = _refused(mesh)
    mesh.processes.send(paused, signal.SIGCONT)
    time.sleep(FENCE_S)
    fenced = _refused(mesh) - conflicts
    holder = moving.driver(mesh)
    phase = moving.verdict(mesh, timeout_s=BY_S)
    first = _verdicts(mesh)
    time.sleep(SETTLE_S)
    last = _verdicts(mesh)
    figures = {
        "paused, successor": (paused, successor),
        "taken over after (s)": round(taken_over_s, 1),
        "writes refused by the lease row after SIGCONT": fenced,
        "driver after SIGCONT": holder,
        "verdict": phase,
    }
    problems = []
    if successor is None:
        problems.append("no other node took the lease over")
    if not fenced:
        problems.append("no write of the paused driver was refused")
    if holder == paused:
        problems.append("the paused driver drives again")
    if phase is None:
        problems.append("no verdict in time")
    if len(last) != 1 or first != last:
        problems.append(f"verdicts differ: {first} {last}")
    mesh.wait_for_callers("callers")
    return result.Result(
        f"SIGSTOP of the driver for {FROZEN_S:.0f} s, then SIGCONT",
        figures,
        problems,
    )


def _refused(mesh: mesh_module.Mesh) -> int:
    """Returns the number of writes refused so far by a lease row check."""
    return mesh.platform_stats()["conflicts"].get("lease", 0)


def _verdicts(mesh: mesh_module.Mesh) -> set[tuple[str, str, str]]:
    """Returns the distinct verdicts that nodes report."""
    verdicts = set()
    for number in range(len(mesh.instances)):
        move = moving.state(mesh, at=number)["move"]
        verdicts.add((move["move_id"], move["phase"], move["reason"]))
    return verdicts
