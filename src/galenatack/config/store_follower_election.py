"""Chooses the nodes that follow the shared tables for their data centre."""

import collections.abc
import math

from galenatack.interfaces import clock as clock_interface
from galenatack.membership import member_table
from galenatack.membership import node_roles
from galenatack.model import member_status

HEARD_S = 1.6
"""A follower that sent no heartbeat for this long is taken as gone; heartbeats
are sent each second."""

STEP_S = 0.25
"""Each node in the order of claims waits this much longer than the one before
it, so that one node takes over and not all of them."""

LONGEST_WAIT_S = 1.0
"""No node waits longer for others to take over."""

START_S = 0.25
"""A node that starts gives its peers this long to link and hand it their rows
before it reads whole tables itself."""


class StoreFollowerElection:
    """Tells whether this node follows the store or gets rows from peers.

    One node of each data centre follows the store, so that a change crosses
    from the store to a data centre once, however many nodes it has. While one
    says that it does, the others stand by; when nobody does, the first in the
    order of claims takes over. Without peers every node follows the store.

    Args:
        members: Members of the fleet.
        clock: Source of time.
    """

    def __init__(
        self,
        *,
        members: member_table.MemberTable,
        clock: clock_interface.Clock,
    ):
        self._members = members
        self._clock = clock
        self._told_s: dict[str, float] = {}
        self._is_mine = False
        # A starting node waits as if it had just heard a follower.
        self._led_s = clock.monotonic_s() + START_S

    def record_heartbeat(self, node_id: str, *, is_following: bool) -> None:
        """Takes what a peer said of itself in its heartbeat."""
        if is_following:
            self._told_s[node_id] = self._clock.monotonic_s()
        else:
            self._told_s.pop(node_id, None)

    def should_follow(self) -> bool:
        """Tells whether this node should follow the store now."""
        now_s = self._clock.monotonic_s()
        claims = self._claims()
        own_id = self._members.own.node_id
        rank = claims.index(own_id) if own_id in claims else len(claims)
        following = [
            index
            for index, node_id in enumerate(claims)
            if now_s - self._told_s.get(node_id, -math.inf) <= HEARD_S
        ]
        if self._is_mine:
            # Of two that follow, the one with the better claim goes on.
            self._is_mine = not following or rank < following[0]
        elif following:
            self._led_s = max(self._led_s, now_s)
        else:
            wait_s = min(rank * STEP_S, LONGEST_WAIT_S)
            self._is_mine = now_s - self._led_s >= wait_s
        return self._is_mine

    def _claims(self) -> collections.abc.Sequence[str]:
        epoch = node_roles.epoch(self._clock.wall_ms())
        return self._members.cached(
            ("store-claims", epoch), lambda: self._rank(epoch)
        )

    def _rank(self, epoch: int) -> collections.abc.Sequence[str]:
        # Nodes that were found and not yet met have a claim as well: at a
        # start of all, nobody has met the others.
        own = self._members.own
        node_ids = [
            record.node_id
            for record in self._members.live()
            if record.data_centre == own.data_centre
            and record.status != member_status.MemberStatus.LEAVING
        ]
        return node_roles.rank(node_ids, f"store/{own.data_centre}/{epoch}")
