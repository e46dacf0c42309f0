"""Dispatches received messages to their handlers."""

import asyncio
import logging
import typing

from galenatack import exceptions
from galenatack.clients import client_account
from galenatack.clients import received_calls
from galenatack.interfaces import peer_network
from galenatack.links import envelope
from galenatack.links import peer_link
from galenatack.links import unknown_message
from galenatack.messages import announced_call
from galenatack.messages import busy
from galenatack.messages import call
from galenatack.messages import hello
from galenatack.messages import protocol_failure

MAX_SERVING = 1024
"""Maximum number of concurrent handlers of one link.

Further messages are refused, which contains a faulty peer.
"""

MAX_SERVING_BYTES = 64_000_000
"""Limit on the messages that the handlers of all links hold. Long messages
beyond it are refused."""

LONG_BYTES = 65_536

BUSY_RETRY_MS = 200
NOT_READY_RETRY_MS = 1000

_LOGGER = logging.getLogger(__name__)


class MessageServer:
    """Runs one task for each received message.

    These are plain tasks and not a task group: anyio's overhead was 27 us of
    CPU, a sixth of the cost of a request at both ends of a link.

    Args:
        account: Counts the memory of calls; None if it is not limited.

    Attributes:
        is_open: False while the node is not running.
    """

    def __init__(self, *, account: client_account.ClientAccount | None = None):
        self._calls = (
            None
            if account is None
            else received_calls.ReceivedCalls(account=account)
        )
        self._handlers: dict[type, peer_network.Handler] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._unknown_tags: set[int] = set()
        self._serving_bytes = 0
        self.is_open = False

    def on(self, message_type: type, handler: peer_network.Handler) -> None:
        """Registers the handler of a message type."""
        self._handlers[message_type] = handler

    async def stop(self) -> None:
        """Cancels all handlers and waits for them to end."""
        self.is_open = False
        for task in self._tasks:
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)

    def handle_hello(
        self, link: peer_link.PeerLink, peer_hello: hello.Hello
    ) -> None:
        """Dispatches the Hello of a new link."""
        self._dispatch(link, envelope.Envelope(peer_hello))

    def receive(
        self,
        link: peer_link.PeerLink,
        received: envelope.Envelope,
        size_bytes: int,
    ) -> None:
        """Dispatches a message that is not a reply.

        Args:
            link: Its link.
            received: The message.
            size_bytes: Size of its frame.

        Raises:
            exceptions.ProtocolError: The message is not allowed here.
        """
        message = received.message
        if isinstance(message, hello.Hello):
            raise exceptions.ProtocolError("second Hello")
        if isinstance(message, protocol_failure.ProtocolFailure):
            _LOGGER.warning(
                "event=refused-by-peer peer=%s code=%s detail=%r",
                link.node_id,
                message.code,
                message.detail,
            )
            return
        if isinstance(message, unknown_message.UnknownMessage):
            self._refuse_unknown(link, received, message.tag)
        elif link.serving >= MAX_SERVING or self._is_full(size_bytes):
            self._refuse(link, received, BUSY_RETRY_MS)
        else:
            self._dispatch(link, received, size_bytes)

    def _is_full(self, size_bytes: int) -> bool:
        total_bytes = self._serving_bytes + size_bytes
        return size_bytes > LONG_BYTES and total_bytes > MAX_SERVING_BYTES

    def _dispatch(
        self,
        link: peer_link.PeerLink,
        received: envelope.Envelope,
        size_bytes: int = 0,
    ) -> None:
        handler = self._handlers.get(type(received.message))
        if handler is None or not self.is_open:
            self._refuse(link, received, NOT_READY_RETRY_MS)
            return
        call_bytes = 0
        is_call = isinstance(
            received.message, call.Call | announced_call.AnnouncedCall
        )
        if self._calls is not None and is_call:
            call_bytes = self._calls.begin(received.message.request)
            if call_bytes is None:
                self._refuse(link, received, BUSY_RETRY_MS)
                return
        self._serving_bytes += size_bytes
        link.serving += 1
        task = asyncio.create_task(
            self._serve(link, received, size_bytes, handler)
        )
        self._tasks.add(task)
        if call_bytes:
            task.add_done_callback(lambda done: self._calls.end(call_bytes))
        task.add_done_callback(self._tasks.discard)

    def _refuse_unknown(
        self, link: peer_link.PeerLink, received: envelope.Envelope, tag: int
    ) -> None:
        if tag not in self._unknown_tags:
            self._unknown_tags.add(tag)
            _LOGGER.warning(
                "event=message-unknown peer=%s tag=%d", link.node_id, tag
            )
        if received.request_id:
            detail = f"no message type {tag}"
            failure = protocol_failure.ProtocolFailure(
                exceptions.ProtocolError.code, detail
            )
            _reply(link, received, failure)

    def _refuse(
        self,
        link: peer_link.PeerLink,
        received: envelope.Envelope,
        retry_after_ms: int,
    ) -> None:
        if received.request_id:
            _reply(link, received, busy.Busy(retry_after_ms))

    async def _serve(
        self,
        link: peer_link.PeerLink,
        received: envelope.Envelope,
        size_bytes: int,
        handler: peer_network.Handler,
    ) -> None:
        try:
            answer = await handler(link.node_id, received.message)
        except exceptions.PeerBusyError as error:
            answer = busy.Busy(error.retry_after_ms)
        except exceptions.GalenatackError as error:
            answer = protocol_failure.ProtocolFailure(error.code, str(error))
            _LOGGER.warning(
                "event=handler-failed peer=%s error=%s", link.node_id, error
            )
        # A bug in one handler must not break all links of the node.
        except Exception:
            answer = protocol_failure.ProtocolFailure("internal", "")
            _LOGGER.exception("event=handler-failed peer=%s", link.node_id)
        finally:
            link.serving -= 1
            self._serving_bytes -= size_bytes
        if received.request_id and answer is not None:
            _reply(link, received, answer)


def _reply(
    link: peer_link.PeerLink, received: envelope.Envelope, answer: typing.Any
) -> None:
    try:
        link.post(answer, reply_id=received.request_id)
    except exceptions.PeerError as error:
        # A reply that cannot be sent fails this request, not the node; the
        # peer runs into its timeout, as for a lost reply.
        _LOGGER.warning(
            "event=reply-dropped peer=%s error=%s", link.node_id, error
        )
