"""An event sink that keeps all events in a list."""

from galenatack.model import event_id


class EventList:
    """Implements `interfaces.event_sink.EventSink`.

    Attributes:
        events: (kind, facts) in the order of recording.
    """

    def __init__(self, node_id: str = "node"):
        self._node_id = node_id
        self.events: list[tuple[str, dict[str, object]]] = []

    def record(
        self,
        kind: str,
        *,
        cause: event_id.EventId | None = None,
        **facts: object,
    ) -> event_id.EventId:
        """Records an event."""
        del cause
        self.events.append((kind, facts))
        return event_id.EventId(self._node_id, 1, len(self.events))

    def kinds(self) -> list[str]:
        """Returns the kinds of all events, in order."""
        return [kind for kind, _ in self.events]
