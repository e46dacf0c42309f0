"""Large messages of a link that are sent in parts.

Load that this answers: uploads and configurations on links of a few Mbit/s. A
frame of 360 KB occupies 5 Mbit/s for half a second; small calls and heartbeats
behind it would be late, and the link would look silent.
"""

import collections

from galenatack.messages import fragment

CHUNK_BYTES = 8 * 1024
"""Size of a part; 13 ms at 5 Mbit/s."""

MAX_MESSAGE_ID = (1 << 32) - 1


class BulkQueue:
    """Cuts frames into parts; the frames take turns.

    Attributes:
        unsent_bytes: Bytes that have not been taken yet.
    """

    def __init__(self):
        self._frames: collections.OrderedDict[int, memoryview] = (
            collections.OrderedDict()
        )
        self._predecessors: dict[int, int] = {}
        self._last_id = 0
        self.unsent_bytes = 0

    def is_waiting(self, message_id: int) -> bool:
        """Returns whether a part of a message has not been taken yet."""
        return message_id in self._frames

    def add(self, frame: bytes, *, after: int = 0) -> int:
        """Adds a frame.

        Args:
            frame: The frame.
            after: Id of a message that it must not overtake; 0 for none.

        Returns:
            The id of the message, which is not 0.
        """
        self._last_id = self._last_id % MAX_MESSAGE_ID + 1
        if after:
            self._predecessors[self._last_id] = after
        self._frames[self._last_id] = memoryview(frame)
        self.unsent_bytes += len(frame)
        return self._last_id

    def take(self) -> fragment.Fragment | None:
        """Returns the next part to send, or None if there is none."""
        message_id = self._next_id()
        if message_id is None:
            return None
        rest = self._frames.pop(message_id)
        data, rest = rest[:CHUNK_BYTES], rest[CHUNK_BYTES:]
        self.unsent_bytes -= len(data)
        if rest:
            self._frames[message_id] = rest
        else:
            self._predecessors.pop(message_id, None)
        return fragment.Fragment(message_id, bytes(data), not rest)

    def discard(self, message_id: int) -> bool:
        """Drops the rest of a frame.

        Returns:
            True if there was a rest: the peer never gets the whole message.
        """
        rest = self._frames.pop(message_id, None)
        self._predecessors.pop(message_id, None)
        if rest is None:
            return False
        self.unsent_bytes -= len(rest)
        return True

    def _next_id(self) -> int | None:
        for message_id in self._frames:
            if self._predecessors.get(message_id) not in self._frames:
                return message_id
        return None
