"""Extracts rejected profile versions from member records."""

import typing

DEAD = "dead"


def live_rejections(members: list[dict]) -> list[dict[str, typing.Any]]:
    """Returns the rejected profile versions of the live nodes."""
    return [
        {"node_id": member["node_id"], **_as_fields(rejection)}
        for member in members
        if member["status"] != DEAD
        for rejection in member.get("rejections", ())
    ]


def _as_fields(rejection: typing.Any) -> dict[str, typing.Any]:
    if isinstance(rejection, dict):
        return rejection
    return dict(zip(("profile", "version", "reason"), rejection, strict=True))
