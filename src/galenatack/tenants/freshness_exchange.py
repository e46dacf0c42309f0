"""Asks other nodes how current their configuration is."""

import asyncio
import collections.abc
import math

from galenatack import exceptions
from galenatack.interfaces import clock as clock_interface
from galenatack.interfaces import peer_network
from galenatack.interfaces import random_source
from galenatack.membership import member_table
from galenatack.membership import node_roles
from galenatack.messages import ask_freshness
from galenatack.messages import freshness as freshness_message
from galenatack.tenants import freshness_terms
from galenatack.tenants import key_freshness

DIRECT_NODES = 64
"""Up to this many nodes in a region ask its followers themselves. In a larger
one, the nodes of a data centre ask its carriers: a follower would otherwise
keep links to thousands of nodes."""

CONCERN_SHARE = 0.6
"""Fraction of the maximum age above which a node asks all that may know."""

WIDER_SOURCES = 2
"""Number of neighbours, and of followers elsewhere, that are asked as well."""

_MS_PER_S = 1000


class FreshnessExchange:
    """Asks followers of the store, directly or over others, and answers.

    A question is a request whose reply counts from the time of the question.
    An age in a heartbeat would count from an unknown time: a frame that waits
    in a buffer, or a receiver that was paused, would make it look recent.

    Args:
        members: Members of the fleet.
        peers: Links to other nodes.
        clock: Source of time.
        rng: Choice of neighbours.
        freshness: Age of the own keys.
        own_version: Returns the version of the configuration in force.
        terms: Times that follow from the limit.
    """

    def __init__(
        self,
        *,
        members: member_table.MemberTable,
        peers: peer_network.PeerNetwork,
        clock: clock_interface.Clock,
        rng: random_source.RandomSource,
        freshness: key_freshness.KeyFreshness,
        own_version: collections.abc.Callable[[], int],
        terms: freshness_terms.FreshnessTerms,
    ):
        self._members = members
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._freshness = freshness
        self._own_version = own_version
        self._terms = terms
        self._asked: dict[str, asyncio.Task] = {}
        self._best = ""
        self._best_s = -math.inf
        peers.on(ask_freshness.AskFreshness, self._on_ask)

    async def run(self) -> None:
        """Asks at each interval until cancelled."""
        try:
            while True:
                self._ask_due()
                await self._clock.sleep_s(self._terms.ask_s)
        finally:
            for task in self._asked.values():
                task.cancel()

    def _ask_due(self) -> None:
        for node_id in self._sources():
            if node_id not in self._asked:
                task = asyncio.create_task(self._ask(node_id))
                self._asked[node_id] = task
                task.add_done_callback(
                    lambda _, node_id=node_id: self._asked.pop(node_id, None)
                )

    def _sources(self) -> set[str]:
        """Returns the nodes to ask now."""
        age_s = self._freshness.age_s()
        is_concerned = age_s > self._terms.max_age_s * CONCERN_SHARE
        if self._members.own.follows_store and not is_concerned:
            return set()
        primary = self._members.cached("freshness-sources", self._primary)
        if not is_concerned:
            return {self._best} if self._best in primary else set(primary[:1])
        sources = {*primary, *self._sample(self._peers.neighbours())}
        elsewhere = self._followers() - sources
        return (sources | self._sample(elsewhere)) - {self._members.own.node_id}

    def _primary(self) -> tuple[str, ...]:
        own = self._members.own
        region = [r for r in self._members.live() if r.region == own.region]
        carriers = node_roles.data_centre_carriers(
            self._members, own.data_centre
        )
        nearby = {r.node_id for r in region if r.follows_store}
        if len(region) > DIRECT_NODES and own.node_id not in carriers:
            nearby = set(carriers)
        # Each node has its own order, so that both get about half of them.
        return tuple(node_roles.rank(nearby - {own.node_id}, own.node_id))

    def _followers(self) -> set[str]:
        return {r.node_id for r in self._members.live() if r.follows_store}

    def _sample(self, node_ids: collections.abc.Collection[str]) -> set[str]:
        count = min(WIDER_SOURCES, len(node_ids))
        return set(self._rng.sample(sorted(node_ids), count))

    async def _ask(self, node_id: str) -> None:
        asked_s = self._clock.monotonic_s()
        try:
            reply = await self._peers.request(
                node_id,
                ask_freshness.AskFreshness(),
                timeout_s=self._terms.max_age_s,
            )
        except exceptions.PeerError:
            return
        # A node of the release before knows no such question.
        if not isinstance(reply, freshness_message.Freshness):
            return
        if reply.age_ms < 0:
            return
        current_s = asked_s - reply.age_ms / _MS_PER_S
        self._freshness.hear(current_s, reply.version)
        if current_s > self._best_s:
            self._best, self._best_s = node_id, current_s

    async def _on_ask(
        self, sender: str, message: ask_freshness.AskFreshness
    ) -> freshness_message.Freshness:
        del sender, message
        age_s = self._freshness.age_s()
        return freshness_message.Freshness(
            age_ms=math.ceil(age_s * _MS_PER_S) if age_s < math.inf else -1,
            version=self._own_version(),
        )
