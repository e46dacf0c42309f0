"""Opens links on demand; concurrent requests for a link share a dial."""

import collections.abc

import anyio
import anyio.abc

from galenatack import exceptions
from galenatack.links import fault_injector
from galenatack.links import link_factory
from galenatack.links import link_purpose
from galenatack.links import peer_link
from galenatack.membership import member_table
from galenatack.messages import hello
from galenatack.model import member_record

OnOpened = collections.abc.Callable[[peer_link.PeerLink, hello.Hello], None]


class _Dial:
    """A dial in progress."""

    def __init__(self):
        self.done = anyio.Event()
        self.link: peer_link.PeerLink | None = None
        self.error: exceptions.PeerError | None = None


class LinkOpener:
    """Dials peers and reports the opened links.

    Args:
        factory: Creates the links.
        table: Member table; provides the addresses.
        faults: Partitions.
        on_opened: Called with each new link and the peer's Hello.

    Attributes:
        tasks: Task group of the dials; None while the node is not running.
    """

    def __init__(
        self,
        *,
        factory: link_factory.LinkFactory,
        table: member_table.MemberTable,
        faults: fault_injector.FaultInjector,
        on_opened: OnOpened,
    ):
        self._factory = factory
        self._table = table
        self._faults = faults
        self._on_opened = on_opened
        self._dials: dict[tuple[str, link_purpose.LinkPurpose], _Dial] = {}
        self.tasks: anyio.abc.TaskGroup | None = None

    async def open(
        self, node_id: str, purpose: link_purpose.LinkPurpose
    ) -> peer_link.PeerLink:
        """Returns a new link to a node.

        Raises:
            exceptions.PeerUnreachableError: The connection failed, or the
                node is not a member.
        """
        if self.tasks is None:
            raise exceptions.PeerUnreachableError("the node does not run")
        dial = self._dials.get((node_id, purpose))
        if dial is None:
            dial = self._dials[node_id, purpose] = _Dial()
            # Runs in a separate task: a caller that is cancelled must not
            # fail the dial for the others.
            self.tasks.start_soon(self._run, node_id, purpose, dial)
        await dial.done.wait()
        if dial.link is None:
            raise exceptions.PeerUnreachableError(
                f"cannot reach {node_id}: {dial.error}"
            )
        return dial.link

    async def open_address(self, address: str) -> peer_link.PeerLink:
        """Returns a new direct link to an address.

        Raises:
            exceptions.PeerUnreachableError: The connection failed.
            exceptions.ProtocolError: The handshake was refused.
        """
        for record in self._table.records():
            if record.peer_address == address:
                self._raise_if_cut(record)
        purpose = link_purpose.LinkPurpose.DIRECT
        link, peer_hello = await self._factory.dial(address, purpose)
        self._on_opened(link, peer_hello)
        return link

    async def _run(
        self, node_id: str, purpose: link_purpose.LinkPurpose, dial: _Dial
    ) -> None:
        try:
            dial.link = await self._dial(node_id, purpose)
        except exceptions.PeerError as error:
            dial.error = error
        finally:
            del self._dials[node_id, purpose]
            dial.done.set()

    async def _dial(
        self, node_id: str, purpose: link_purpose.LinkPurpose
    ) -> peer_link.PeerLink:
        record = self._table.get(node_id)
        if record is None:
            raise exceptions.PeerUnreachableError("no such member")
        self._raise_if_cut(record)
        link, peer_hello = await self._factory.dial(
            record.peer_address, purpose
        )
        if link.node_id != node_id:
            link.abort()
            raise exceptions.PeerUnreachableError(
                f"{link.node_id} answers at {record.peer_address}"
            )
        self._on_opened(link, peer_hello)
        return link

    def _raise_if_cut(self, record: member_record.MemberRecord) -> None:
        if self._faults.is_cut(record.data_centre):
            raise exceptions.PeerUnreachableError(
                f"{record.data_centre} is cut off"
            )
