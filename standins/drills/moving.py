"""Starts and observes a move of the drills' service."""

import time
import typing

from standins.drills import mesh as mesh_module

POLL_S = 0.1
_MS_PER_S = 1000
_MOVES = "/admin/v1/moves"


def start(mesh: mesh_module.Mesh, *, by_s: float) -> int:
    """Starts the move to v2 and returns its promised wall time, in ms."""
    by_ms = int((time.time() + by_s) * _MS_PER_S)
    answer = mesh.admin.post(
        mesh.instances[0].admin_address,
        _MOVES,
        {"service": mesh_module.SERVICE, "to": "v2", "by_ms": by_ms},
    )
    if "move_id" not in answer:
        raise RuntimeError(f"move start: {answer}")
    return by_ms


def state(mesh: mesh_module.Mesh, *, at: int = 0) -> dict[str, typing.Any]:
    """Returns the status of the move from one node."""
    address = mesh.instances[at].admin_address
    return mesh.admin.get(address, f"{_MOVES}/{mesh_module.SERVICE}") or {}


def verdict(mesh: mesh_module.Mesh, *, timeout_s: float) -> str | None:
    """Waits for the verdict; returns its phase, or None if too late."""
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        status = state(mesh)
        if status.get("final"):
            return status["move"]["phase"]
        time.sleep(POLL_S)
    return None


def driver(mesh: mesh_module.Mesh) -> str | None:
    """Returns the lease holder, which drives the move."""
    path = f"/table/lease/move/{mesh_module.SERVICE}"
    row = mesh.admin.get(mesh.platform, path) or {}
    return row["value"]["holder"] if "value" in row else None


def wait_for_driver(
    mesh: mesh_module.Mesh, *, other_than: str = "", timeout_s: float
) -> str | None:
    """Waits for a driver other than `other_than`."""
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        holder = driver(mesh)
        if holder not in (None, other_than):
            return holder
        time.sleep(POLL_S)
    return None
