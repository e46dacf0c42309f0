"""Drill: the platform is down at the promised time of a move."""

import pathlib
import time
import typing

from standins.drills import mesh as mesh_module
from standins.drills import moving
from standins.drills import result

BY_S = 42.0
DOWN_AFTER_S = 10.0
# Time after the promised time until the old version gets all calls.
RETURN_S = 1.0
WATCH_S = 4.0
VERDICT_TIMEOUT_S = 15.0
RATE = 100
LOAD_S = 52
LOST_ANSWERS = (1, 2, 3)
PUBLISH_TIMEOUT_S = 30.0


def run(folder: pathlib.Path) -> result.Result:
    """Runs the drill."""
    with mesh_module.Mesh(folder, versions=("v1", "v2"), copies=1) as mesh:
        figures: dict[str, typing.Any] = {}
        problems = _outage_across_promise(mesh, figures)
        problems += _lost_answers(mesh, figures)
    return result.Result(
        "platform down across the promised time of a move, then lost"
        " answers during publishes",
        figures,
        problems,
    )


def _outage_across_promise(mesh: mesh_module.Mesh, figures) -> list[str]:
    mesh.start_callers(
        "callers",
        mesh.instances,
        rate=RATE,
        duration_s=LOAD_S,
        posting_share=0.2,
    )
    by_s = moving.start(mesh, by_s=BY_S) / 1000
    _sleep_until(by_s - BY_S + DOWN_AFTER_S)
    mesh.platform_faults(down=True)
    _sleep_until(by_s - RETURN_S)
    early = _new_version_calls(mesh)
    _sleep_until(by_s + RETURN_S)
    returned = _new_version_calls(mesh)
    time.sleep(WATCH_S)
    late = _new_version_calls(mesh)
    reported = moving.state(mesh)
    mesh.platform_faults(down=False)
    start_s = time.monotonic()
    phase = moving.verdict(mesh, timeout_s=VERDICT_TIMEOUT_S)
    elapsed_s = time.monotonic() - start_s
    mesh.wait_for_callers("callers")
    figures["calls of v2 before the promised time"] = early
    figures["calls of v2 later than 1 s after it"] = late - returned
    figures["status in the outage"] = reported.get("note", reported)
    figures["verdict after the outage"] = f"{phase}, {elapsed_s:.1f} s"
    problems = []
    if not early:
        problems.append("v2 had no calls, so that none could return")
    if late != returned:
        problems.append(f"{late - returned} calls of v2 after the time")
    if reported.get("final") or "cannot be read yet" not in str(reported):
        problems.append(f"status in the outage: {reported}")
    if phase != "taken_back":
        problems.append(f"verdict {phase}")
    return problems


def _lost_answers(mesh: mesh_module.Mesh, figures) -> list[str]:
    before = max(mesh.running().values())
    seqs = []
    durations_s = []
    for number in LOST_ANSWERS:
        mesh.platform_faults(lose_answers=number)
        start_s = time.monotonic()
        seqs.append(mesh.publish(timeout_s=PUBLISH_TIMEOUT_S))
        durations_s.append(round(time.monotonic() - start_s, 1))
    late_s = mesh.wait_for_seq(seqs[-1])
    figures["publishes with lost answers (s)"] = durations_s
    figures["seqs of them"] = (before, *seqs)
    problems = []
    if seqs != list(range(before + 1, before + 1 + len(seqs))):
        problems.append("a publish with a lost answer was made twice")
    if late_s is None:
        problems.append("a publish with a lost answer is not in force")
    return problems


def _new_version_calls(mesh: mesh_module.Mesh) -> int:
    ledgers = mesh.ledgers()
    return sum(
        ledgers[item.node_id]["started"]
        for item in mesh.instances
        if item.version == "v2"
    )


def _sleep_until(wall_s: float) -> None:
    time.sleep(max(0.0, wall_s - time.time()))
