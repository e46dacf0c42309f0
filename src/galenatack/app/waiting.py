"""Waits for changes, with progress on standard error."""

import http
import typing

from galenatack import exceptions
from galenatack.app import admin_client
from galenatack.app import rejections
from galenatack.app import tool

POLL_INTERVAL_S = 0.5
MOVE_FIELDS = ("move", "final")


def lagging(members: list[dict], seq: int) -> list[str]:
    """Returns the ids of the live nodes known to run less than `seq`."""
    return sorted(
        member["node_id"]
        for member in members
        if member["status"] != rejections.DEAD
        and member["running_seq"] is not None
        and member["running_seq"] < seq
    )


def silent(members: list[dict]) -> list[str]:
    """Returns the ids of the live nodes that did not answer the survey."""
    return sorted(
        member["node_id"]
        for member in members
        if member["status"] != rejections.DEAD and member["running_seq"] is None
    )


def wait_until_in_force(
    shared: tool.Tool,
    *,
    seq: int,
    timeout_ms: int,
    published: tuple[str, int] | None = None,
) -> None:
    """Waits until all live nodes run `seq` or have rejected its profile.

    Args:
        shared: The tool.
        seq: The change to wait for.
        timeout_ms: Longest time.
        published: Name and version of the profile that the change is.

    Raises:
        exceptions.WaitTimeoutError: Nodes still lag; names them.
        exceptions.AdminRefusedError: Nodes rejected the profile.
    """
    end_s = shared.clock.monotonic_s() + timeout_ms / 1000
    shown = None
    while True:
        members = _members(shared)
        refusals = _refusals(members, published)
        refusers = {item["node_id"] for item in refusals}
        behind = [n for n in lagging(members, seq) if n not in refusers]
        mute = silent(members)
        if members and not behind and not mute:
            return _raise_if_any(refusals)
        named = behind + [f"{node_id} (no answer)" for node_id in mute]
        line = f"seq {seq}: waiting for {', '.join(named) or 'a status'}"
        if line != shown:
            shared.progress(line)
            shown = line
        if shared.clock.monotonic_s() >= end_s:
            raise exceptions.WaitTimeoutError(line)
        shared.clock.sleep_s(POLL_INTERVAL_S)


def read_move(shared: tool.Tool, service: str) -> dict[str, typing.Any]:
    """Returns the latest move of a service as the admin API tells it."""
    return shared.client.get(
        f"/moves/{admin_client.quoted(service)}", fields=MOVE_FIELDS
    )


def wait_for_verdict(
    shared: tool.Tool, *, service: str, timeout_ms: int
) -> dict[str, typing.Any]:
    """Waits for the verdict of the service's move; returns the answer.

    Raises:
        exceptions.WaitTimeoutError: There is no verdict yet.
    """
    end_s = shared.clock.monotonic_s() + timeout_ms / 1000
    shown = None
    while True:
        try:
            answer = read_move(shared, service)
        except exceptions.AdminUnreachableError as error:
            answer = None
            line = f"no node answers: {error}"
        else:
            if answer["final"]:
                return answer
            move = answer["move"]
            share = move["share_permille"] / 10
            line = f"{move['phase']}: {share:g}% on {move['to_version']}"
        if line != shown:
            shared.progress(line)
            shown = line
        if shared.clock.monotonic_s() >= end_s:
            raise exceptions.WaitTimeoutError(
                f"{service}: no verdict yet; {line}"
            )
        shared.clock.sleep_s(POLL_INTERVAL_S)


def _members(shared: tool.Tool) -> list[dict]:
    try:
        return shared.client.get("/status", fields=("members",))["members"]
    except exceptions.AdminUnreachableError:
        return []


def _refusals(
    members: list[dict], published: tuple[str, int] | None
) -> list[dict]:
    return [
        item
        for item in rejections.live_rejections(members)
        if (item["profile"], item["version"]) == published
    ]


def _raise_if_any(refusals: list[dict]) -> None:
    if refusals:
        reasons = (f"{i['node_id']}: {i['reason']}" for i in refusals)
        raise exceptions.AdminRefusedError(
            f"published, but rejected by {'; '.join(reasons)}",
            status=http.HTTPStatus.CONFLICT,
            reason="profile-rejected",
            facts={"rejections": refusals},
        )
