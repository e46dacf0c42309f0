"""Drill: killing a node between dispatch and answer repeats no posting."""

import pathlib
import time

from standins.drills import mesh as mesh_module
from standins.drills import result

KILLS = 6
SERVICE_MS = 400
SLOTS = 30
RATE = 60
LOAD_S = 45
WARM_UP_S = 4.0
DOWN_S = 1.0


def run(folder: pathlib.Path) -> result.Result:
    """Runs the drill."""
    with mesh_module.Mesh(
        folder, slots=SLOTS, target_options=("--service-ms", str(SERVICE_MS))
    ) as mesh:
        return _run(mesh)


def _run(mesh: mesh_module.Mesh) -> result.Result:
    names = ("callers-0", "callers-1")
    for number, name in enumerate(names):
        mesh.start_callers(
            name,
            mesh.instances,
            rate=RATE,
            duration_s=LOAD_S,
            posting_share=1.0,
            deadline_ms=3_000,
            attempts=6,
            seed=number + 1,
        )
    time.sleep(WARM_UP_S)
    in_flight = sum(_kill(mesh, number) for number in range(KILLS))
    summaries = [mesh.wait_for_callers(name) for name in names]
    return _result(mesh, in_flight, summaries)


def _kill(mesh: mesh_module.Mesh, number: int) -> int:
    """Restarts a node after a kill; returns its calls in flight before."""
    item = mesh.instances[number % len(mesh.instances)]
    state = mesh.admin.get(item.admin_address, "/admin/v1/node")
    mesh.processes.kill(item.node_id)
    time.sleep(DOWN_S)
    mesh.start_node(item)
    mesh.wait_until_ready()
    return state["in_flight"]


def _result(mesh, in_flight: int, summaries) -> result.Result:
    keys = sum(len(ledger["keys"]) for ledger in mesh.ledgers().values())
    repeated = mesh.repeated()
    problems = []
    if repeated:
        problems.append(f"{repeated} keys ran twice")
    if not in_flight:
        problems.append("no posting was in flight at the kills")
    wrong = sum(summary["wrong"] for summary in summaries)
    if wrong:
        problems.append(f"{wrong} wrong answers")
    figures = {
        "in flight at the kills": in_flight,
        "keys that ran": keys,
        "keys that ran twice": repeated,
    }
    for number, summary in enumerate(summaries):
        figures[f"calls of callers {number}"] = summary["outcomes"]
        figures[f"attempts of callers {number}"] = summary["replies"]
    return result.Result(
        f"{KILLS} nodes killed one after the other under postings, each"
        " started again after 1 s",
        figures,
        problems,
    )
