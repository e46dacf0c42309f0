"""The handshake of a peer connection."""

import typing

import anyio
from websockets import exceptions as websockets_exceptions
from websockets.asyncio import connection as websockets_connection

from galenatack import exceptions
from galenatack.links import fault_injector
from galenatack.links import link_purpose
from galenatack.links import message_codec
from galenatack.links import tls
from galenatack.messages import hello
from galenatack.messages import protocol_failure
from galenatack.model import member_record

PROTOCOL = 3
"""Protocol version of this release. Version 3 fetches announced bodies."""

OLDEST_PROTOCOL = 2
"""Oldest protocol version that this release supports. Version 1 refuses records
with appended fields."""

TIMEOUT_S = 2.0
"""Timeout for the peer's Hello; the same as for a silent link."""

_CLOSE_PROTOCOL_ERROR = 1002


class Handshake:
    """Exchanges and checks `Hello`.

    Args:
        deployment: Deployment name; must be equal on both sides.
        own_id: Id of this node; a link to itself is refused.
        faults: Partitions; a peer that is cut off gets no answer.
        protocol: Newest supported protocol version.
        oldest_protocol: Oldest supported protocol version.
    """

    def __init__(
        self,
        *,
        deployment: str,
        own_id: str,
        faults: fault_injector.FaultInjector,
        protocol: int = PROTOCOL,
        oldest_protocol: int = OLDEST_PROTOCOL,
    ):
        self._protocol = protocol
        self._oldest_protocol = oldest_protocol
        self._deployment = deployment
        self._own_id = own_id
        self._faults = faults

    async def dial(
        self,
        connection: websockets_connection.Connection,
        *,
        record: member_record.MemberRecord,
        purpose: link_purpose.LinkPurpose,
    ) -> hello.Hello:
        """Sends Hello and returns the peer's validated Hello.

        Raises:
            exceptions.ProtocolError: Either side refused.
            exceptions.PeerUnreachableError: The peer disconnected or sent
                no Hello in time.
        """
        own = self._make_hello(record, purpose)
        await _send(connection, own)
        answer = await _receive(connection)
        return await self._validated(connection, answer)

    async def accept(
        self,
        connection: websockets_connection.Connection,
        *,
        record: member_record.MemberRecord,
    ) -> hello.Hello:
        """Answers a dialling peer and returns its validated Hello.

        Raises:
            exceptions.ProtocolError: The peer was refused.
            exceptions.PeerUnreachableError: The peer disconnected or sent
                no Hello in time.
        """
        their_hello = await self._validated(
            connection, await _receive(connection)
        )
        purpose = link_purpose.LinkPurpose(their_hello.purpose)
        # Until now the connection has taken short messages only.
        connection.protocol.max_message_size = message_codec.MAX_FRAME_BYTES
        await _send(connection, self._make_hello(record, purpose))
        return their_hello

    def _make_hello(
        self,
        record: member_record.MemberRecord,
        purpose: link_purpose.LinkPurpose,
    ) -> hello.Hello:
        return hello.Hello(
            self._protocol,
            self._oldest_protocol,
            self._deployment,
            purpose.value,
            record,
        )

    async def _validated(
        self,
        connection: websockets_connection.Connection,
        message: typing.Any,
    ) -> hello.Hello:
        failure = self._failure_for(message) or _identity_failure(
            connection, message
        )
        if failure is None:
            data_centre = message.record.data_centre
            if self._faults.is_cut(data_centre):
                raise exceptions.PeerUnreachableError(
                    f"{data_centre} is cut off"
                )
            return message
        if not isinstance(message, protocol_failure.ProtocolFailure):
            await _send(connection, failure)
        await connection.close(_CLOSE_PROTOCOL_ERROR)
        raise exceptions.ProtocolError(f"{failure.code}: {failure.detail}")

    def _failure_for(
        self, message: typing.Any
    ) -> protocol_failure.ProtocolFailure | None:
        failure = protocol_failure.ProtocolFailure
        if isinstance(message, failure):
            return message
        if not isinstance(message, hello.Hello):
            return failure("protocol", "Hello expected")
        if (
            message.protocol < self._oldest_protocol
            or message.oldest_protocol > self._protocol
        ):
            return failure(
                "protocol-version",
                f"versions {self._oldest_protocol} to {self._protocol} are"
                " spoken here",
            )
        if message.deployment != self._deployment:
            return failure("deployment", f"this is {self._deployment}")
        if message.purpose not in list(link_purpose.LinkPurpose):
            return failure("protocol", "unknown purpose of the link")
        if message.record.node_id == self._own_id:
            return failure("self", "the node dialled itself")
        return None


def _identity_failure(
    connection: websockets_connection.Connection, message: hello.Hello
) -> protocol_failure.ProtocolFailure | None:
    names = tls.peer_names(connection.transport)
    node_id = message.record.node_id
    if names is None or node_id in names:
        return None
    return protocol_failure.ProtocolFailure(
        "certificate", f"the certificate does not name {node_id}"
    )


async def _send(
    connection: websockets_connection.Connection, message: typing.Any
) -> None:
    try:
        await connection.send(message_codec.encode(message))
    except websockets_exceptions.ConnectionClosed as error:
        raise exceptions.PeerUnreachableError(str(error)) from error


async def _receive(
    connection: websockets_connection.Connection,
) -> typing.Any:
    try:
        with anyio.fail_after(TIMEOUT_S):
            frame = await connection.recv()
        return message_codec.decode(frame).message
    except exceptions.ProtocolError as error:
        failure = protocol_failure.ProtocolFailure(error.code, str(error))
        await _send(connection, failure)
        await connection.close(_CLOSE_PROTOCOL_ERROR)
        raise
    except (websockets_exceptions.ConnectionClosed, TimeoutError) as error:
        raise exceptions.PeerUnreachableError(
            f"no Hello from the peer: {error}"
        ) from error
