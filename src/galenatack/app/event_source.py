"""Collects the events of all nodes into one time line."""

import typing

from galenatack import exceptions
from galenatack.app import rejections
from galenatack.app import tool
from galenatack.model import event
from galenatack.model import event_id

MAX_PAGES = 1000
BEFORE_FIRST_NUMBER = -1


def collect(shared: tool.Tool) -> list[event.Event]:
    """Reads the events of all live nodes and merges them.

    A node that cannot be reached is named on standard error and left out.
    """
    status = shared.client.get("/status", fields=("members",))
    events = []
    for member in status["members"]:
        if member["status"] == rejections.DEAD:
            continue
        try:
            events += _read_node(shared, member["admin_address"])
        except exceptions.AdminUnreachableError as error:
            shared.progress(f"left out {member['node_id']}: {error}")
    return merged(events)


def merged(events: list[event.Event]) -> list[event.Event]:
    """Returns the events of several nodes in one causal order."""
    # Imported late: only one command needs the time line.
    from galenatack.timeline import merge

    return merge.merge(events)


def render_svg(events: list[event.Event]) -> str:
    """Returns the drawing of a time line."""
    from galenatack.timeline import svg

    return svg.draw(events)


def _read_node(shared: tool.Tool, address: str) -> list[event.Event]:
    events: list[event.Event] = []
    after = BEFORE_FIRST_NUMBER
    for _ in range(MAX_PAGES):
        answer = shared.client.get(
            "/events", fields=("events",), node=address, after=after
        )
        page = [to_event(document) for document in answer["events"]]
        new_events = [e for e in page if e.event_id.number > after]
        if not new_events:
            break
        events += new_events
        after = max(e.event_id.number for e in new_events)
    return events


def to_event(document: dict[str, typing.Any]) -> event.Event:
    """Reads an event from JSON, where tuples may be lists or mappings."""
    facts = document["facts"]
    pairs = facts.items() if isinstance(facts, dict) else facts
    cause = document.get("cause")
    return event.Event(
        event_id=_event_id(document["event_id"]),
        hlc=document["hlc"],
        kind=document["kind"],
        cause=_event_id(cause) if cause else None,
        facts=tuple((str(name), str(value)) for name, value in pairs),
    )


def _event_id(value: typing.Any) -> event_id.EventId:
    if isinstance(value, dict):
        return event_id.EventId(**value)
    return event_id.EventId(*value)
