"""Interface of the messaging between nodes."""

import collections.abc
import typing

Handler = collections.abc.Callable[
    [str, typing.Any], collections.abc.Awaitable[typing.Any]
]


class PeerNetwork(typing.Protocol):
    """Links to peers; messages are the types in `galenatack.messages`."""

    def on(self, message_type: type, handler: Handler) -> None:
        """Registers the handler of a message type.

        The handler gets the sender's node id and the message. Its return
        value is sent as the reply to a request; None sends no reply.
        """

    async def broadcast(
        self, message: typing.Any, *, exclude: str | None = None
    ) -> None:
        """Sends on all overlay and carrier links, except to `exclude`."""

    async def send(self, node_id: str, message: typing.Any) -> None:
        """Sends to one node, over a link that is dialled if needed.

        Raises:
            exceptions.PeerUnreachableError: Nothing was sent.
        """

    async def request(
        self, node_id: str, message: typing.Any, *, timeout_s: float
    ) -> typing.Any:
        """Sends to one node and returns its reply.

        `Call` messages use a separate link, so they are not queued behind
        control messages.

        Raises:
            exceptions.PeerUnreachableError: Nothing was sent.
            exceptions.PeerTimeoutError: The reply did not arrive in time.
            exceptions.PeerBusyError: The peer refused because of load.
        """

    def protocol(self, node_id: str) -> int:
        """Returns the newest protocol that a node speaks; 0 if unknown."""

    def neighbours(self) -> frozenset[str]:
        """Returns the node ids of all open overlay and carrier links."""
