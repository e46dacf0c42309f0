"""Stores and logs the events of one process."""

import collections
import json
import logging

from galenatack.model import event
from galenatack.model import event_id
from galenatack.timeline import hybrid_clock

DEFAULT_CAPACITY = 4096
"""Events stored; about 2 MB, a sixteenth of a node's memory."""

_LOGGER = logging.getLogger("galenatack.events")


class Recorder:
    """Implements `interfaces.event_sink.EventSink` with a ring buffer.

    Args:
        node_id: Id of the recording process.
        incarnation: Incarnation of the process.
        hlc: Clock of the events.
        capacity: Maximum number of stored events; the oldest are dropped.
    """

    def __init__(
        self,
        *,
        node_id: str,
        incarnation: int,
        hlc: hybrid_clock.HybridClock,
        capacity: int = DEFAULT_CAPACITY,
    ):
        self._node_id = node_id
        self._incarnation = incarnation
        self._hlc = hlc
        self._number = 0
        self._events: collections.deque[event.Event] = collections.deque(
            maxlen=capacity
        )

    def record(
        self,
        kind: str,
        *,
        cause: event_id.EventId | None = None,
        **facts: object,
    ) -> event_id.EventId:
        """Records an event and returns its identifier."""
        self._number += 1
        identifier = event_id.EventId(
            self._node_id, self._incarnation, self._number
        )
        texts = tuple((name, str(value)) for name, value in facts.items())
        recorded = event.Event(identifier, self._hlc.now(), kind, cause, texts)
        self._events.append(recorded)
        if _LOGGER.isEnabledFor(logging.INFO):
            _LOGGER.info("%s", format_line(recorded))
        return identifier

    def events(self) -> tuple[event.Event, ...]:
        """Returns the stored events, oldest first."""
        return tuple(self._events)


def format_line(recorded: event.Event) -> str:
    """Returns an event as one line of key=value pairs."""
    pairs = [
        ("event", recorded.kind),
        ("id", _format_id(recorded.event_id)),
        ("hlc", str(recorded.hlc)),
    ]
    if recorded.cause is not None:
        pairs.append(("cause", _format_id(recorded.cause)))
    pairs.extend(recorded.facts)
    return " ".join(f"{name}={_quote(value)}" for name, value in pairs)


def _format_id(identifier: event_id.EventId) -> str:
    return "/".join(str(part) for part in identifier)


def _quote(value: str) -> str:
    plain = value.isprintable() and not set(value) & set(' "=')
    return value if plain and value else json.dumps(value)
