"""Where events of the time line go."""

import typing

from galenatack.model import event_id


class EventSink(typing.Protocol):
    """Records events and logs them, one key=value line each."""

    def record(
        self,
        kind: str,
        *,
        cause: event_id.EventId | None = None,
        **facts: object,
    ) -> event_id.EventId:
        """Records an event and returns its identifier."""
