"""Joins the parts of large messages."""

import collections

from galenatack import exceptions
from galenatack.links import message_codec
from galenatack.messages import fragment

MAX_PARTIAL_BYTES = 4 * message_codec.MAX_FRAME_BYTES
"""Limit on incomplete messages of one link. Beyond it, the oldest one is
dropped: its sender has given it up, or the link is too slow for it."""


class FragmentAssembler:
    """Joins the parts of the messages of one link.

    Attributes:
        partial_bytes: Bytes of incomplete messages.
    """

    def __init__(self):
        self._partial: collections.OrderedDict[int, bytearray] = (
            collections.OrderedDict()
        )
        self.partial_bytes = 0

    def add(self, part: fragment.Fragment) -> bytes | None:
        """Returns the frame that a part completes, or None.

        Raises:
            exceptions.ProtocolError: The frame is too large.
        """
        frame = self._partial.setdefault(part.message_id, bytearray())
        frame += part.data
        self.partial_bytes += len(part.data)
        if len(frame) > message_codec.MAX_FRAME_BYTES:
            raise exceptions.ProtocolError(
                f"frame in parts exceeds {message_codec.MAX_FRAME_BYTES} bytes"
            )
        if part.is_last:
            self._drop(part.message_id)
            return bytes(frame)
        while self.partial_bytes > MAX_PARTIAL_BYTES:
            self._drop(next(iter(self._partial)))
        return None

    def _drop(self, message_id: int) -> None:
        self.partial_bytes -= len(self._partial.pop(message_id))
