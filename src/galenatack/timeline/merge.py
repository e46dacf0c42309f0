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

    An event follows its cause and the earlier events of its process; other
    events are ordered by hybrid time. The result does not depend on the order
    of the argument. Duplicates are removed.

    Args:
        events: Events of any number of processes, in any order.
    """
    events_by_id: EventsById = {item.event_id: item for item in events}
    successors, pending_counts = _build_graph(events_by_id)
    ready = [
        _sort_key(events_by_id[identifier])
        for identifier in events_by_id
        if not pending_counts[identifier]
    ]
    heapq.heapify(ready)
    ordered = []
    while ready:
        identifier = heapq.heappop(ready)[1]
        ordered.append(events_by_id[identifier])
        for successor in successors[identifier]:
            pending_counts[successor] -= 1
            if not pending_counts[successor]:
                heapq.heappush(ready, _sort_key(events_by_id[successor]))
    return (*ordered, *_cyclic_events(events_by_id, ordered))


def _sort_key(item: event.Event) -> tuple[int, event_id.EventId]:
    return item.hlc, item.event_id


def _build_graph(
    events_by_id: EventsById,
) -> tuple[
    dict[event_id.EventId, list[event_id.EventId]],
    collections.Counter[event_id.EventId],
]:
    successors = collections.defaultdict(list)
    pending_counts: collections.Counter[event_id.EventId] = (
        collections.Counter()
    )
    previous: event_id.EventId | None = None
    for identifier in sorted(events_by_id):
        if previous is not None and previous[:2] == identifier[:2]:
            successors[previous].append(identifier)
            pending_counts[identifier] += 1
        cause = events_by_id[identifier].cause
        if cause in events_by_id:
            successors[cause].append(identifier)
            pending_counts[identifier] += 1
        previous = identifier
    return successors, pending_counts


def _cyclic_events(
    events_by_id: EventsById, ordered: list[event.Event]
) -> list[event.Event]:
    # Only forged causes can form a cycle; its events are returned last.
    done = {item.event_id for item in ordered}
    remaining = [
        events_by_id[identifier]
        for identifier in events_by_id
        if identifier not in done
    ]
    return sorted(remaining, key=_sort_key)
