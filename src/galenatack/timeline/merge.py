"""Merges the events of several processes into one causal order."""

import collections
import collections.abc
import heapq

from galenatack.model import event
from galenatack.model import event_id

EventsById = dict[event_id.EventId, event.Event]


def merge(
    events: collections.abc.Iterable[event.Event],
) -> tuple[event.Event, ...]:
    """Returns the events in causal order.

    An event comes after its cause and after the earlier events of its own
    process; otherwise the order is that of the hybrid time. The order does
    not depend on that of the argument, and duplicates are removed.

    Args:
        events: Events of any processes, in any order.
    """
    known: EventsById = {item.event_id: item for item in events}
    successors, waiting = _edges(known)
    ready = [_key(known[name]) for name in known if not waiting[name]]
    heapq.heapify(ready)
    ordered = []
    while ready:
        name = heapq.heappop(ready)[1]
        ordered.append(known[name])
        for successor in successors[name]:
            waiting[successor] -= 1
            if not waiting[successor]:
                heapq.heappush(ready, _key(known[successor]))
    return (*ordered, *_unordered(known, ordered))


def _key(item: event.Event) -> tuple[int, event_id.EventId]:
    return item.hlc, item.event_id


def _edges(
    known: EventsById,
) -> tuple[
    dict[event_id.EventId, list[event_id.EventId]],
    collections.Counter[event_id.EventId],
]:
    successors = collections.defaultdict(list)
    waiting: collections.Counter[event_id.EventId] = collections.Counter()
    previous: event_id.EventId | None = None
    for name in sorted(known):
        if previous is not None and previous[:2] == name[:2]:
            successors[previous].append(name)
            waiting[name] += 1
        cause = known[name].cause
        if cause in known:
            successors[cause].append(name)
            waiting[name] += 1
        previous = name
    return successors, waiting


def _unordered(
    known: EventsById, ordered: list[event.Event]
) -> list[event.Event]:
    # A cycle needs a forged cause; its events are still shown, at the end.
    done = {item.event_id for item in ordered}
    left = [known[name] for name in known if name not in done]
    return sorted(left, key=_key)
