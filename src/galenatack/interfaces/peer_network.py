"""Messages to and from other nodes."""

import collections.abc
import typing

Handler = collections.abc.Callable[
    [str, typing.Any], collections.abc.Awaitable[typing.Any]
]


class PeerNetwork(typing.Protocol):
    """Links to peers. Messages are the types of `galenatack.messages`."""

    def on(self, message_type: type, handler: Handler) -> None:
        """Registers the handler of a message type.

        The handler gets (sender's node id, message). What it returns is
        sent back as the reply of a request; None sends nothing.
        """

    async def broadcast(
        self, message: typing.Any, *, exclude: str | None = None
    ) -> None:
        """Sends to all overlay and carrier links but the one to `exclude`."""

    async def send(self, node_id: str, message: typing.Any) -> None:
        """Sends to one node, over a link that is dialled when needed.

        Raises:
            exceptions.PeerUnreachableError: Nothing was sent.
        """

    async def request(
        self, node_id: str, message: typing.Any, *, timeout_s: float
    ) -> typing.Any:
        """Sends to one node and returns its reply.

        `Call` messages use a link of their own, so that they do not wait
        behind control messages.

        Raises:
            exceptions.PeerUnreachableError: Nothing was sent.
            exceptions.PeerTimeoutError: The reply did not arrive.
            exceptions.PeerBusyError: The peer refused for now.
        """

    def neighbours(self) -> frozenset[str]:
        """Returns the node ids of all open overlay and carrier links."""
