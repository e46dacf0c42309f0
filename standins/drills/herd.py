"""Drill: nodes restarted together do not overload the platform."""

import pathlib
import time
import typing

from standins.demo import instance as instance_module
from standins.drills import mesh as mesh_module
from standins.drills import result

SAMPLE_S = 0.1
SERVE_LIMIT_S = 30.0
WINDOW_S = 1.0
AFTER_S = 5.0
PUBLISHES = 3
# Readers of 4 data centres read 16 heads per second; the rest allows for the
# rebuild of the nodes.
READS_LIMIT_PER_S = 100


class _Restart(typing.NamedTuple):
    """Measurements of a simultaneous restart.

    Attributes:
        serve_s: Time until all nodes served; None if some did not.
        reads_per_s: Maximum platform reads within a second.
        refused: Number of reads and writes refused by the platform.
        older: Nodes that served with an older seq than before.
    """

    serve_s: float | None
    reads_per_s: int
    refused: int
    older: list[str]


def run(folder: pathlib.Path) -> result.Result:
    """Runs the drill."""
    with mesh_module.Mesh(folder) as mesh:
        restarts = {
            "one data centre": _restart(
                mesh, mesh.instances_in(mesh.data_centres()[2])
            ),
            "all nodes": _restart(mesh, mesh.instances),
        }
        late = mesh.wait_for_seq(mesh.publish())
    problems = [] if late is not None else ["no publish after the restart"]
    for name, item in restarts.items():
        if item.serve_s is None:
            problems.append(f"{name}: not serving after {SERVE_LIMIT_S} s")
        if item.reads_per_s > READS_LIMIT_PER_S:
            problems.append(f"{name}: {item.reads_per_s} reads/s")
        if item.older:
            problems.append(f"{name}: older version on {item.older}")
    return result.Result(
        "killed the nodes of a data centre, then all nodes, and started"
        " them again at once",
        {name: item._asdict() for name, item in restarts.items()},
        problems,
    )


def _restart(
    mesh: mesh_module.Mesh, items: list[instance_module.Instance]
) -> _Restart:
    floor = max(mesh.publish() for _ in range(PUBLISHES))
    if mesh.wait_for_seq(floor) is None:
        raise RuntimeError(f"seq {floor} is not in force everywhere")
    refused = mesh.platform_stats()["refused"]
    for item in items:
        mesh.processes.kill(item.node_id)
    for item in items:
        mesh.start_node(item)
    serve_s, reads, older = _watch(mesh, items, floor)
    return _Restart(
        serve_s,
        _max_reads(reads),
        mesh.platform_stats()["refused"] - refused,
        sorted(older),
    )


def _watch(mesh, items, floor):
    """Samples nodes and platform until `AFTER_S` after all serve."""
    start_s = time.monotonic()
    serve_s = None
    reads = []
    older = set()
    while time.monotonic() - start_s < SERVE_LIMIT_S:
        now_s = time.monotonic() - start_s
        reads.append((now_s, mesh.platform_stats()["reads"]))
        states = [
            mesh.admin.get(item.admin_address, "/admin/v1/node") or {}
            for item in items
        ]
        serving = [state for state in states if state.get("is_ready")]
        older.update(
            state["node_id"]
            for state in serving
            if state["running_seq"] < floor
        )
        if len(serving) == len(items) and serve_s is None:
            serve_s = round(now_s, 1)
        if serve_s is not None and now_s > serve_s + AFTER_S:
            break
        time.sleep(SAMPLE_S)
    return serve_s, reads, older


def _max_reads(samples: list[tuple[float, int]]) -> int:
    """Returns the maximum number of reads within `WINDOW_S`."""
    return max(
        later - reads
        for taken_s, reads in samples
        for later_s, later in samples
        if taken_s <= later_s <= taken_s + WINDOW_S
    )
