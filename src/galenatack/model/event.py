"""An event of the time line."""

import typing

from galenatack.model import event_id


class Event(typing.NamedTuple):
    """An event of the time line.

    Attributes:
        event_id: Identifier of the event.
        hlc: Hybrid logical time: wall milliseconds << 16 | counter.
        kind: Kind of event, such as `profile-accepted`.
        cause: The event that caused this one.
        facts: Pairs of names and values.
    """

    event_id: event_id.EventId
    hlc: int
    kind: str
    cause: event_id.EventId | None
    facts: tuple[tuple[str, str], ...]
