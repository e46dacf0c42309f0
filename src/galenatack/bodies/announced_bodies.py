"""Bodies of the calls that this node has announced to gates."""

import contextlib
import typing

from galenatack.interfaces import peer_network
from galenatack.messages import body_part
from galenatack.messages import fetch_body

MIN_ANNOUNCED_BYTES = 16 * 1024
"""A longer body is announced. On a link of 5 Mbit/s it takes 26 ms and more, in
which others wait, and all of that is lost if the gate refuses the call. A
shorter one is sent with its call, which saves a round trip."""


class AnnouncedBodies:
    """Hands out parts of announced bodies, each only to the node it is for.

    Args:
        peers: Links to other nodes.
    """

    def __init__(self, *, peers: peer_network.PeerNetwork):
        self._bodies: dict[str, tuple[str, bytes]] = {}
        self._handed_out: dict[str, int] = {}
        peers.on(fetch_body.FetchBody, self._on_fetch)

    @contextlib.contextmanager
    def announced(
        self, call_id: str, node_id: str, body: bytes
    ) -> typing.Iterator[None]:
        """Keeps a body while its call is at a gate."""
        self._bodies[call_id] = (node_id, body)
        self._handed_out[call_id] = 0
        try:
            yield
        finally:
            del self._bodies[call_id]
            del self._handed_out[call_id]

    def is_handed_out(self, call_id: str) -> bool:
        """Returns whether all parts of a body have been asked for.

        If not, its call provably has not run.
        """
        return self._handed_out[call_id] >= len(self._bodies[call_id][1])

    async def _on_fetch(
        self, sender: str, message: fetch_body.FetchBody
    ) -> body_part.BodyPart:
        node_id, body = self._bodies.get(message.call_id, ("", b""))
        data = b""
        if node_id == sender and message.offset >= 0:
            end = message.offset + max(0, message.size_bytes)
            data = body[message.offset : end]
            handed_out = self._handed_out[message.call_id] + len(data)
            self._handed_out[message.call_id] = handed_out
        return body_part.BodyPart(message.call_id, message.offset, data)
