"""A node with a real `PostingGuard` that a test can kill."""

import collections.abc
import typing

import anyio

from galenatack.model import call_request
from galenatack.model import call_result
from galenatack.postings import posting_guard
from galenatack.postings import ticket_codec
from tests.fakes import event_list
from tests.fakes import virtual_clock

TICKET_KEY = "secret of the deployment"


class Node:
    """A node process: a guard and its running calls.

    Attributes:
        guard: The guard.
        is_alive: False after `kill`.
    """

    def __init__(
        self,
        node_id: str,
        incarnation: int,
        *,
        table,
        peers,
        rng,
        clock=None,
        **options,
    ):
        clock = clock or virtual_clock.VirtualClock()
        self.node_id = node_id
        self.incarnation = incarnation
        self.tickets = ticket_codec.TicketCodec(
            ticket_key=TICKET_KEY, clock=clock, rng=rng
        )
        self.events = event_list.EventList(node_id)
        self.guard = posting_guard.PostingGuard(
            node_id=node_id,
            incarnation=incarnation,
            tickets=self.tickets,
            table=table,
            peers=peers,
            clock=clock,
            rng=rng,
            events=self.events,
            **options,
        )
        self.is_alive = True
        self._scopes: set[anyio.CancelScope] = set()

    def kill(self) -> None:
        """Ends the process by cancelling all its tasks."""
        self.is_alive = False
        for scope in self._scopes:
            scope.cancel()

    async def run(self) -> None:
        """Runs the guard until the node is killed."""
        await self._alive(self.guard.run)

    async def call(
        self,
        request: call_request.CallRequest,
        dispatch: posting_guard.Dispatch,
    ) -> call_result.CallResult | None:
        """Sends a posting; returns None if the node is killed first."""

        async def run_once() -> call_result.CallResult:
            return await self.guard.run_once(request, dispatch)

        return await self._alive(run_once)

    async def _alive(
        self, work: collections.abc.Callable[[], typing.Awaitable]
    ) -> typing.Any:
        result = None
        with anyio.CancelScope() as scope:
            self._scopes.add(scope)
            if self.is_alive:
                result = await work()
        self._scopes.discard(scope)
        return result if self.is_alive else None


def request(key: str, **changes: object) -> call_request.CallRequest:
    """Returns a posting with the key."""
    posting = call_request.CallRequest(
        call_id=f"call-{key}",
        service="purchases",
        route="offers",
        method="POST",
        path="/offers",
        headers=(),
        body=f"offer {key}".encode(),
        deadline_ms=5000,
        posting=True,
        idempotency_key=key,
    )
    return posting._replace(**changes)


def answer(text: str) -> call_result.CallResult:
    """Returns an answer of a target."""
    return call_result.CallResult("answer", 201, (), text.encode())
