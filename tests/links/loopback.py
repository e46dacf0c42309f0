"""Nodes with real links on loopback and an accelerated clock."""

import collections.abc
import random
import time
import typing

import anyio
import anyio.abc
import websockets.asyncio.client

from galenatack.links import fault_injector
from galenatack.links import handshake
from galenatack.links import message_codec
from galenatack.links import peer_network
from galenatack.links import tls
from galenatack.membership import member_table
from galenatack.membership import membership_service
from galenatack.messages import call
from galenatack.messages import call_answer
from galenatack.messages import heartbeat
from galenatack.messages import hello
from galenatack.model import call_request
from galenatack.model import call_result
from galenatack.model import member_record
from galenatack.settings import trust_settings
from tests.fakes import event_list
from tests.fakes import member_records

RATE = 10
"""Seconds of the fast clock per real second."""

HANG_S = 20.0
"""Timeout after which a test is considered stuck."""

DEPLOYMENT = "test"
NO_TLS = tls.PeerTls(
    trust=trust_settings.TrustSettings(mode="none", ticket_key="k")
)


class FastClock:
    """Implements `interfaces.clock.Clock` at `RATE` times the real speed."""

    def monotonic_s(self) -> float:
        """Returns seconds of the fast clock."""
        return time.monotonic() * RATE

    def wall_ms(self) -> int:
        """Returns a constant time, so the role epoch never changes."""
        return 0

    async def sleep_s(self, duration_s: float) -> None:
        """Sleeps for the duration divided by `RATE`."""
        await anyio.sleep(duration_s / RATE)


class Node:
    """A node with links and membership."""

    def __init__(
        self,
        node_id: str,
        *,
        seeds: tuple[str, ...] = (),
        deployment: str = DEPLOYMENT,
        region_delay_ms: int = 0,
        peer_tls: tls.PeerTls = NO_TLS,
    ):
        clock = FastClock()
        record = member_records.build(
            node_id, data_centre=node_id[:2], region=node_id[:1]
        )
        self.table = member_table.MemberTable(own=record, clock=clock)
        self.peers = peer_network.WebsocketPeers(
            deployment=deployment,
            listen_address="127.0.0.1:0",
            seeds=seeds,
            table=self.table,
            clock=clock,
            rng=random.Random(node_id),
            heartbeat_source=self._heartbeat,
            peer_tls=peer_tls,
            faults=fault_injector.FaultInjector(
                enabled=True,
                own_region=record.region,
                region_delay_ms=region_delay_ms,
            ),
        )
        self.events = event_list.EventList()
        self.service = membership_service.MembershipService(
            table=self.table,
            peers=self.peers,
            clock=clock,
            rng=random.Random(node_id),
            events=self.events,
        )
        self.peers.on_lost(self.service.on_link_lost)

    @property
    def record(self) -> member_record.MemberRecord:
        """The node's own record."""
        return self.table.own

    async def start(self, tasks: anyio.abc.TaskGroup) -> "Node":
        """Starts the node and returns it once it is listening."""
        await tasks.start(self.peers.run)
        tasks.start_soon(self.service.run)
        return self

    def _heartbeat(self) -> heartbeat.Heartbeat:
        return heartbeat.Heartbeat(0, self.table.digest(), 0)


def run(
    scenario: collections.abc.Callable[
        [anyio.abc.TaskGroup], collections.abc.Awaitable[typing.Any]
    ],
) -> typing.Any:
    """Runs a scenario on asyncio and stops the nodes that it started.

    Exceptions of the scenario are raised outside of the task group, which
    would wrap them.
    """
    results: list[typing.Any] = []
    errors: list[Exception] = []

    async def main() -> None:
        with anyio.fail_after(HANG_S):
            async with anyio.create_task_group() as tasks:
                try:
                    results.append(await scenario(tasks))
                except Exception as error:
                    errors.append(error)
                tasks.cancel_scope.cancel()

    anyio.run(main, backend="asyncio")
    if errors:
        raise errors[0]
    return results[0]


async def until(condition: collections.abc.Callable[[], bool]) -> None:
    """Waits until a condition holds."""
    while not condition():
        await anyio.sleep(0.01)


def are_joined(nodes: collections.abc.Sequence[Node]) -> bool:
    """Returns whether all nodes see each other live with equal digests."""
    return all(len(n.table.live()) == len(nodes) for n in nodes) and (
        len({n.table.digest() for n in nodes}) == 1
    )


async def receive(connection: typing.Any) -> typing.Any:
    """Returns the next message of a raw connection."""
    return message_codec.decode(await connection.recv()).message


def call_message(body: bytes = b"x") -> call.Call:
    """Returns a call message with simple values."""
    request = call_request.CallRequest(
        "c1", "prices", "list", "GET", "/", (), body, 1000, False
    )
    return call.Call(request, 0)


async def answer_call(
    sender: str, message: call.Call
) -> call_answer.CallAnswer:
    """Answers a call with its own body."""
    result = call_result.CallResult("answer", 200, (), message.request.body)
    return call_answer.CallAnswer(message.request.call_id, result)


async def start_joined(tasks: anyio.abc.TaskGroup, *names: str) -> list[Node]:
    """Starts nodes with the first as seed; returns them once joined."""
    nodes = [await Node(names[0]).start(tasks)]
    seeds = (nodes[0].record.peer_address,)
    for name in names[1:]:
        node = Node(name, seeds=seeds)
        nodes.append(await node.start(tasks))
    await until(lambda: are_joined(nodes))
    return nodes


async def start_pair(
    tasks: anyio.abc.TaskGroup,
    left: str = "a1-0",
    right: str = "a1-1",
    **options: typing.Any,
) -> tuple[Node, Node]:
    """Starts two nodes and returns them once each has a link to the other."""
    first = await Node(left, **options).start(tasks)
    seeds = (first.record.peer_address,)
    second = Node(right, seeds=seeds, **options)
    await second.start(tasks)
    await until(lambda: are_joined((first, second)))
    await until(lambda: bool(first.peers.neighbours()))
    await until(lambda: bool(second.peers.neighbours()))
    return first, second


def connect(node: Node) -> websockets.asyncio.client.connect:
    """Returns a raw connection to a node."""
    return websockets.asyncio.client.connect(
        f"ws://{node.record.peer_address}/", proxy=None, max_size=None
    )


def hello_frame(**changes: typing.Any) -> bytes:
    """Returns the frame of a valid Hello with `changes` applied."""
    peer_hello = hello.Hello(
        handshake.PROTOCOL,
        handshake.OLDEST_PROTOCOL,
        DEPLOYMENT,
        "direct",
        member_records.build("a1-9"),
    )
    return message_codec.encode(peer_hello._replace(**changes))
