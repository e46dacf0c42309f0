"""Waits for changes and shows progress on standard error."""

import http
import typing

from galenatack import exceptions
from galenatack.app import admin_client
from galenatack.app import rejections
from galenatack.app import tool

POLL_INTERVAL_S = 0.5
MOVE_FIELDS = ("move", "final")


def lagging(members: list[dict], seq: int) -> list[str]:
    """Returns the ids of the live nodes known to run a seq below `seq`."""
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
        shared: State of the tool.
        seq: Seq of the change to wait for.
        timeout_ms: Maximum wait in milliseconds.
        published: Name and version of the profile if the change publishes
            one.

    Raises:
        exceptions.WaitTimeoutError: Some nodes still lag; the message names
            them.
        exceptions.AdminRefusedError: Nodes rejected the profile.
    """
    deadline_s = shared.clock.monotonic_s() + timeout_ms / 1000
    shown = None
    while True:
        members = _members(shared)
        rejected = _rejections_of(members, published)
        rejecting = {rejection["node_id"] for rejection in rejected}
        behind = [n for n in lagging(members, seq) if n not in rejecting]
        unanswered = silent(members)
        if members and not behind and not unanswered:
            return _raise_if_rejected(rejected)
        named = behind + [f"{node_id} (no answer)" for node_id in unanswered]
        line = f"seq {seq}: waiting for {', '.join(named) or 'a status'}"
        if line != shown:
            shared.progress(line)
            shown = line
        if shared.clock.monotonic_s() >= deadline_s:
            raise exceptions.WaitTimeoutError(line)
        shared.clock.sleep_s(POLL_INTERVAL_S)


def read_move(shared: tool.Tool, service: str) -> dict[str, typing.Any]:
    """Returns the latest move of a service as the admin API returns it."""
    return shared.client.get(
        f"/moves/{admin_client.quoted(service)}", fields=MOVE_FIELDS
    )


def wait_for_verdict(
    shared: tool.Tool, *, service: str, timeout_ms: int
) -> dict[str, typing.Any]:
    """Waits for the verdict of the service's move and returns the answer.

    Raises:
        exceptions.WaitTimeoutError: There is no verdict yet.
    """
    deadline_s = shared.clock.monotonic_s() + timeout_ms / 1000
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
        if shared.clock.monotonic_s() >= deadline_s:
            raise exceptions.WaitTimeoutError(
                f"{service}: no verdict yet; {line}"
            )
        shared.clock.sleep_s(POLL_INTERVAL_S)


def _members(shared: tool.Tool) -> list[dict]:
    try:
        return shared.client.get("/status", fields=("members",))["members"]
    except exceptions.AdminUnreachableError:
        return []


def _rejections_of(
    members: list[dict], published: tuple[str, int] | None
) -> list[dict]:
    return [
        rejection
        for rejection in rejections.live_rejections(members)
        if (rejection["profile"], rejection["version"]) == published
    ]


def _raise_if_rejected(rejected: list[dict]) -> None:
    if rejected:
        reasons = (
            f"{rejection['node_id']}: {rejection['reason']}"
            for rejection in rejected
        )
        raise exceptions.AdminRefusedError(
            f"published, but rejected by {'; '.join(reasons)}",
            status=http.HTTPStatus.CONFLICT,
            reason="profile-rejected",
            facts={"rejections": rejected},
        )
