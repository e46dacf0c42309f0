"""Nodes that admit requests of tenants within quotas, in virtual time."""

import asyncio
import bisect
import collections
import itertools
import random

import anyio

from galenatack import exceptions
from galenatack.membership import member_table
from galenatack.model import member_status
from galenatack.model import tenant as tenant_model
from galenatack.quotas import quota_book
from galenatack.quotas import quota_exchange
from galenatack.routing import token_bucket
from galenatack.settings import fleet_bounds
from galenatack.tenants import tenant_table
from tests.fakes import manual_clock
from tests.fakes import member_records
from tests.fakes import memory_network
from tests.fakes import virtual_loop

BOUNDS = fleet_bounds.FleetBounds()
WINDOW_S = BOUNDS.quota_window_ms / 1000
QUEUE_S = 0.05
"""Longest time between the admission of a request and its run."""

LIMITS = {"large": (400, 200), "small": (20, 10), "no-burst": (100, 0)}
"""Rate per second and burst by tenant."""

DEATH_SEEN_S = 0.3
CUT_SEEN_S = 2.0
DEAD_S = 3.0
"""Times after which a broken link, a silent link and a suspect are noticed."""

ATTEMPTS = 3

_Status = member_status.MemberStatus


class QuotaFleet:
    """Nodes in four data centres.

    Attributes:
        offered_s: Times of all requests by tenant.
        runs_s: Times of the runs by tenant.
        retries_s: Times until refused requests may come again.
        messages: Number of messages between nodes.
        is_down: Whether no attempt runs.
        has_store: Whether starting nodes read the store; else others' tables.
        held_s: Time after which an attempt is known not to have run.
    """

    def __init__(self, tasks, *, nodes, limits, delay_s):
        self._tasks = tasks
        self._rng = random.Random(7)
        self.network = memory_network.MemoryNetwork(
            tasks, rng=self._rng, delay_s=delay_s
        )
        self.names = [f"n{number:02}" for number in range(nodes)]
        self.records = {
            name: member_records.build(name, data_centre=f"dc{number % 4}")
            for number, name in enumerate(self.names)
        }
        self.offered_s = collections.defaultdict(list)
        self.runs_s = collections.defaultdict(list)
        self.retries_s = []
        self.messages = 0
        self.is_down = False
        self.has_store = True
        self.held_s = 0.5
        self.members = {}
        self.exchanges = {}
        self._scopes = {}
        self._loads = {}
        self._healed = 0
        self.limit(limits)
        for name in self.names:
            self.network.join(name)
        for name in self.names:
            self.start(name)

    def limit(self, limits):
        """Puts limits in force on all nodes: (rate, burst) by tenant."""
        self.limits = limits
        self._table = tenant_table.TenantTable(
            tenant_model.Tenant(name, (), rate_per_s=rate, burst=burst)
            for name, (rate, burst) in limits.items()
        )

    def start(self, name):
        """Starts a node without any memory."""
        self.stop(name)
        clock = virtual_loop.LoopClock()
        members = member_table.MemberTable(own=self.records[name], clock=clock)
        members.merge(self._found(name))
        self.members[name] = members
        exchange = quota_exchange.QuotaExchange(
            members=members,
            peers=self.network.join(name),
            clock=clock,
            rng=self._rng,
            book=quota_book.QuotaBook(
                in_force=lambda: self._table, bounds=BOUNDS
            ),
        )
        self.exchanges[name] = exchange
        self._scopes[name] = scope = anyio.CancelScope()
        self._tasks.start_soon(self._run, exchange, scope)

    def _found(self, name):
        """Returns the records that a starting node gets.

        Those of unreachable nodes come from the store, without their status, or
        from the tables of other nodes.
        """
        joining = _Status.JOINING.value
        return [
            record
            if not self.has_store
            or self.network.reachable(name, record.node_id)
            else record._replace(incarnation=0, status=joining)
            for record in self.records.values()
        ]

    async def _run(self, exchange, scope):
        with scope:
            await exchange.run()

    def stop(self, name):
        """Ends a node abruptly, and its part of the demand."""
        if name in self.exchanges:
            self._scopes.pop(name).cancel()
            del self.exchanges[name]
            self.network.leave(name)

    async def die(self, name):
        """Ends a node; the others notice its broken links."""
        self.stop(name)
        await asyncio.sleep(DEATH_SEEN_S)
        self.tell(self.exchanges, [name], _Status.SUSPECT)

    def tell(self, hearers, names, status):
        """Tells some nodes the status of others."""
        for name in names:
            known = self.records[name]
            self.records[name] = known._replace(
                incarnation=known.incarnation + 1, status=status.value
            )
            for hearer in hearers:
                if hearer != name:
                    self.members[hearer].merge([self.records[name]])

    async def cut(self, names):
        """Cuts some nodes off from the others; both sides notice."""
        others = [name for name in self.names if name not in names]
        for near, far in itertools.product(names, others):
            self.network.cut(near, far)
        healed = self._healed
        await asyncio.sleep(CUT_SEEN_S)
        for status in (_Status.SUSPECT, _Status.DEAD):
            if self._healed != healed:
                return
            self.tell(others, names, status)
            self.tell(names, others, status)
            await asyncio.sleep(DEAD_S)

    def heal(self):
        """Ends all cuts."""
        self._healed += 1
        self.network.heal()
        self.tell(self.names, self.names, _Status.SERVING)

    def load(self, tenant, rate_per_s, names):
        """Sets the demand of a tenant, spread over some nodes."""
        if tenant in self._loads:
            self._loads[tenant].cancel()
        self._loads[tenant] = scope = anyio.CancelScope()
        self._tasks.start_soon(
            self._offer, tenant, rate_per_s, list(names), scope
        )

    async def _offer(self, tenant, rate_per_s, names, scope):
        with scope:
            while True:
                await asyncio.sleep(self._rng.expovariate(rate_per_s))
                exchange = self.exchanges.get(self._rng.choice(names))
                if exchange is not None:
                    self._tasks.start_soon(self._request, exchange, tenant)

    def burst(self, tenant, count, name):
        """Sends many requests to a node at once."""
        for _ in range(count):
            self._tasks.start_soon(self._request, self.exchanges[name], tenant)

    async def _request(self, exchange, tenant):
        loop = asyncio.get_running_loop()
        self.offered_s[tenant].append(loop.time())
        try:
            if not await self._charge(exchange, tenant):
                return
        except exceptions.QuotaExceededError as error:
            self.retries_s.append(loop.time() + error.retry_after_ms / 1000)
            return
        delay_s = self._rng.uniform(0.0, QUEUE_S)
        bisect.insort(self.runs_s[tenant], loop.time() + delay_s)

    async def _charge(self, exchange, tenant):
        """Charges a request; returns whether an attempt of it runs."""
        until_s = await exchange.take(tenant)
        for left in reversed(range(ATTEMPTS)):
            if not self.is_down:
                return True
            await asyncio.sleep(self.held_s)
            if left and not exchange.is_current(until_s):
                until_s = await exchange.take(tenant)
        exchange.give_back(tenant, until_s)
        return False

    def owner(self, tenant):
        """Returns the owner of a tenant's quota."""
        exchange = next(iter(self.exchanges.values()))
        return exchange._owner_of(quota_book.group_of(tenant))

    def excess(self, tenant, *, since_s=0.0):
        """Returns the largest part of the bound that ran in any window."""
        rate, burst = self.limits[tenant]
        bound = (rate * WINDOW_S + burst) * (
            1 + BOUNDS.quota_overshoot
        ) + BOUNDS.quota_slack
        runs = [time_s for time_s in self.runs_s[tenant] if time_s >= since_s]
        most = max(
            bisect.bisect_right(runs, time_s + WINDOW_S) - number
            for number, time_s in enumerate(runs)
        )
        return most / bound

    def loss(self, tenant, since_s, until_s=float("inf")):
        """Returns the share of owed requests that did not run.

        Owed is what one bucket for all nodes would have admitted.
        """
        rate, burst = self.limits[tenant]
        clock = manual_clock.ManualClock()
        bucket = token_bucket.TokenBucket(
            clock=clock,
            rate_per_s=rate,
            capacity=max(burst, BOUNDS.quota_slack),
        )
        owed = 0
        for clock.now_s in self.offered_s[tenant]:
            is_counted = since_s <= clock.now_s < until_s
            owed += bucket.take(1.0) and is_counted
        runs = sum(
            since_s <= time_s < until_s for time_s in self.runs_s[tenant]
        )
        return 1 - runs / owed


def run(scenario, *, nodes=24, limits=None, delay_s=(0.001, 0.04)):
    """Runs a scenario on a fleet; its first 5 s are without requests."""

    async def main():
        async with anyio.create_task_group() as tasks:
            fleet = QuotaFleet(
                tasks,
                nodes=nodes,
                limits=LIMITS if limits is None else limits,
                delay_s=delay_s,
            )
            ask = fleet.network.ask

            async def count(*args):
                fleet.messages += 2
                return await ask(*args)

            fleet.network.ask = count
            await asyncio.sleep(5.0)
            await scenario(fleet)
            tasks.cancel_scope.cancel()

    virtual_loop.run(main)
