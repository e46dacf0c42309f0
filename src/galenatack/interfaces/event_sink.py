"""Interface of the recorder of time line events."""

import typing

from galenatack.model import event_id


class EventSink(typing.Protocol):
    """Records events and logs each as one line of `key=value` pairs."""

    def record(
        self,
        kind: str,
        *,
        cause: event_id.EventId | None = None,
        **facts: object,
    ) -> event_id.EventId:
        """Records an event and returns its identifier."""
