"""Asks the owners of quotas, and lets requests wait for their replies."""

import asyncio
import collections
import collections.abc
import logging
import math

from galenatack import exceptions
from galenatack.interfaces import clock as clock_interface
from galenatack.interfaces import peer_network
from galenatack.interfaces import random_source
from galenatack.membership import member_table
from galenatack.membership import node_roles
from galenatack.messages import quota_ask
from galenatack.messages import quota_grant
from galenatack.model import member_status
from galenatack.model import quota_need
from galenatack.quotas import node_count
from galenatack.quotas import quota_book
from galenatack.quotas import quota_client
from galenatack.quotas import quota_owner
from galenatack.quotas import quota_refusals
from galenatack.quotas import tenant_tokens

TICK_S = 0.25
"""Interval at which a node checks which owners it asks."""

IDLE_COUNT_S = 1.0
"""Interval at which nodes are counted while no tenant has a limit."""

ASK_TIMEOUT_S = 0.8
WAIT_S = 0.4
"""Longest time that a request waits for a token: more than a round trip between
regions, and little beside the latency that callers expect."""

_LOGGER = logging.getLogger(__name__)


class QuotaExchange:
    """Admits requests of tenants within their quotas.

    Args:
        members: Members of the fleet.
        peers: Links to other nodes.
        clock: Source of time.
        rng: Spread of the times until refused requests may come again.
        book: The quotas.

    Attributes:
        refused: Number of refused requests by tenant.
    """

    def __init__(
        self,
        *,
        members: member_table.MemberTable,
        peers: peer_network.PeerNetwork,
        clock: clock_interface.Clock,
        rng: random_source.RandomSource,
        book: quota_book.QuotaBook,
    ):
        self._members = members
        self._peers = peers
        self._clock = clock
        self._book = book
        self._counted_s = -math.inf
        self._count = node_count.NodeCount(clock=clock)
        self._owner = quota_owner.QuotaOwner(
            clock=clock, book=book, nodes=lambda: self._count.count
        )
        self._client = quota_client.QuotaClient(
            own_id=members.own.node_id,
            clock=clock,
            book=book,
            nodes=lambda: self._count.count,
        )
        self._waiters: dict[
            str, collections.deque[asyncio.Future[float | None]]
        ] = collections.defaultdict(collections.deque)
        self._asking: dict[int, asyncio.Task[None]] = {}
        self._releasing: dict[int, asyncio.Task[None]] = {}
        self._refusals = quota_refusals.QuotaRefusals(
            clock=clock, rng=rng, client=self._client
        )
        self.refused = self._refusals.refused
        peers.on(quota_ask.QuotaAsk, self._on_ask)

    async def run(self) -> None:
        """Asks and updates shares until cancelled."""
        try:
            while True:
                self._tick()
                await self._clock.sleep_s(TICK_S)
        finally:
            for task in (*self._asking.values(), *self._releasing.values()):
                task.cancel()

    async def take(self, tenant: str) -> float:
        """Uses a token for a request, and waits for one if need be.

        Returns:
            The monotonic time until which the charge may serve another attempt
            if this one does not run.

        Raises:
            exceptions.QuotaExceededError: There is none.
        """
        if not tenant or self._book.terms(tenant) is None:
            return math.inf
        tokens = self._client.tokens(tenant)
        tokens.add_request()
        until_s = self._client.take(tenant)
        if until_s is None and self._client.may_wait(tenant):
            until_s = await self._wait(tenant)
        if until_s is not None:
            return until_s
        tokens.note_refused()
        raise self._refusals.make(tenant)

    def is_current(self, until_s: float) -> bool:
        """Returns whether a charge may serve another attempt."""
        return self._clock.monotonic_s() < until_s

    def give_back(self, tenant: str, until_s: float) -> None:
        """Takes back the charge of a request that did not run."""
        # Without an end, the tenant had no limit.
        if tenant and until_s < math.inf:
            self._client.tokens(tenant).give_back(until_s)

    def shares(self) -> dict[int, float]:
        """Returns what other nodes have lent to this one, by group."""
        return self._owner.shares()

    def own_groups(self) -> int:
        """Returns for how many groups this node uses its own share."""
        return sum(map(self._client.uses_own_share, self._book.groups()))

    def _tick(self) -> None:
        self._update_count()
        if not self._book.groups():
            return
        self._owner.tick()
        for group in self._book.groups():
            if self._client.is_due(group):
                self._ask_soon(group)

    def _update_count(self) -> None:
        """Counts the nodes, also before the first limits arrive.

        More rarely then: a table of thousands of nodes takes a millisecond.
        """
        now_s = self._clock.monotonic_s()
        if self._book.groups() or now_s - self._counted_s >= IDLE_COUNT_S:
            self._counted_s = now_s
            self._count.update(self._members.records())

    async def _wait(self, tenant: str) -> float | None:
        waiter = asyncio.get_running_loop().create_future()
        waiters = self._waiters[tenant]
        waiters.append(waiter)
        self._ask_soon(quota_book.group_of(tenant))
        try:
            async with asyncio.timeout(WAIT_S):
                return await waiter
        except TimeoutError:
            return None
        except asyncio.CancelledError:
            is_served = waiter.done() and not waiter.cancelled()
            if is_served and (until_s := waiter.result()) is not None:
                self.give_back(tenant, until_s)
            raise
        finally:
            if waiter in waiters:
                waiters.remove(waiter)

    def _ask_soon(self, group: int) -> None:
        if group not in self._asking:
            task = asyncio.create_task(self._ask_until_served(group))
            self._asking[group] = task
            task.add_done_callback(lambda _: self._asking.pop(group, None))

    async def _ask_until_served(self, group: int) -> None:
        is_asking = True
        while is_asking:
            await self._clock.sleep_s(self._client.delay_s(group))
            await self._ask(group)
            is_asking = bool(self._waiting(group))

    async def _ask(self, group: int) -> None:
        owner = self._owner_of(group)
        former = self._client.former_owner(group, owner)
        if former and group not in self._releasing:
            task = asyncio.create_task(self._release(group, former))
            self._releasing[group] = task
            task.add_done_callback(lambda _: self._releasing.pop(group, None))
        ask = self._client.make_ask(group, self._waiting(group))
        asked_s = self._clock.monotonic_s()
        grant = await self._request(owner, ask)
        is_applied = grant is not None and self._client.apply(
            ask, grant, owner=owner, asked_s=asked_s
        )
        direct = {}
        if is_applied:
            direct = {part.tenant: part.direct for part in grant.parts}
        for need in ask.needs:
            if not is_applied:
                self._client.tokens(need.tenant).deny()
            self._serve(need, direct.get(need.tenant, 0), asked_s)

    def _serve(
        self, need: quota_need.QuotaNeed, tokens: int, asked_s: float
    ) -> None:
        """Answers the requests that waited when the question was sent."""
        # The owner has charged them after the question.
        until_s = asked_s + tenant_tokens.REUSE_S
        waiters = self._waiters[need.tenant]
        for _ in range(min(need.waiting, len(waiters))):
            waiter = waiters.popleft()
            if not waiter.done():
                waiter.set_result(until_s if tokens > 0 else None)
                tokens -= 1
        # Callers may have left meanwhile.
        for _ in range(tokens):
            self.give_back(need.tenant, until_s)

    async def _release(self, group: int, node_id: str) -> None:
        ask = self._client.make_release(group)
        if await self._request(node_id, ask) is not None:
            self._client.released(group, node_id)

    async def _request(
        self, node_id: str, ask: quota_ask.QuotaAsk
    ) -> quota_grant.QuotaGrant | None:
        if node_id == self._members.own.node_id:
            return self._owner.handle(node_id, ask)
        try:
            reply = await self._peers.request(
                node_id, ask, timeout_s=ASK_TIMEOUT_S
            )
        except exceptions.PeerError as error:
            _LOGGER.debug(
                "event=quota-not-asked owner=%s error=%s", node_id, error
            )
            return None
        # A node of the release before knows no such question.
        return reply if isinstance(reply, quota_grant.QuotaGrant) else None

    async def _on_ask(
        self, sender: str, message: quota_ask.QuotaAsk
    ) -> quota_grant.QuotaGrant:
        return self._owner.handle(sender, message)

    def _waiting(self, group: int) -> dict[str, int]:
        return {
            tenant: len(waiters)
            for tenant, waiters in self._waiters.items()
            if waiters and quota_book.group_of(tenant) == group
        }

    def _owner_of(self, group: int) -> str:
        return self._members.cached(
            ("quota-owner", group), lambda: self._choose_owner(group)
        )

    def _choose_owner(self, group: int) -> str:
        serving = [
            record.node_id
            for record in self._members.live()
            if record.status == member_status.MemberStatus.SERVING
        ]
        candidates = serving or [self._members.own.node_id]
        return node_roles.rank(candidates, f"quota/{group}")[0]
