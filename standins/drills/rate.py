"""Drill: a burst of publishes is in force everywhere in time."""

import pathlib
import time

from standins.drills import mesh as mesh_module
from standins.drills import result

PUBLISHES = 50
LIMIT_S = 5.0


def run(folder: pathlib.Path) -> result.Result:
    """Runs the drill."""
    with mesh_module.Mesh(folder) as mesh:
        start_s = time.monotonic()
        seqs = [mesh.publish() for _ in range(PUBLISHES)]
        elapsed_s = time.monotonic() - start_s
        spread_s = mesh.wait_for_seq(seqs[-1])
    problems = []
    if spread_s is None or spread_s > LIMIT_S:
        problems.append(f"last version in force everywhere: {spread_s} s")
    if len(set(seqs)) != PUBLISHES:
        problems.append("two publishes got the same seq")
    return result.Result(
        f"{PUBLISHES} versions of a profile published in a row",
        {
            "publishing (s)": round(elapsed_s, 1),
            "last accepted to in force everywhere (s)": spread_s
            and round(spread_s, 2),
        },
        problems,
    )
