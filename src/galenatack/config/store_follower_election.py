"""Elects the node that follows the shared tables in each data centre."""

import collections.abc
import math

from galenatack.interfaces import clock as clock_interface
from galenatack.membership import member_table
from galenatack.membership import node_roles
from galenatack.model import member_status

FOLLOWER_TIMEOUT_S = 1.6
"""A follower without a heartbeat for this long is considered gone; heartbeats
are sent each second."""

TAKEOVER_STEP_S = 0.25
"""Extra delay of each rank before a node takes over, so that one node does and
not all of them."""

MAX_TAKEOVER_DELAY_S = 1.0
"""Limit on the takeover delay of any rank."""

PAUSE_S = 0.6
"""A check this late means that this process was paused. Heartbeats received
meanwhile have not been handled yet, so their absence proves nothing."""

START_DELAY_S = 0.25
"""Time in which peers can connect to a starting node and send it their rows,
before it reads whole tables itself."""


class StoreFollowerElection:
    """Decides whether this node follows the store or gets rows from peers.

    One node of each data centre follows the store, so a change is sent from
    the store to a data centre once, however many nodes it has. The other
    nodes are passive while the heartbeats of one node show that it follows.
    Without such heartbeats, the node of the lowest rank takes over. A node
    without peers follows the store itself.

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
        self._following_s: dict[str, float] = {}
        self._is_elected = False
        # Delays a takeover at the start, as after a follower's heartbeat.
        self._last_follower_s = clock.monotonic_s() + START_DELAY_S
        self._checked_s = clock.monotonic_s()

    @property
    def follower(self) -> str | None:
        """Node that follows the store as far as this node knows, or None."""
        if self._is_elected:
            return self._members.own.node_id
        following = self._following(self._clock.monotonic_s())
        return following[0] if following else None

    def record_heartbeat(self, node_id: str, *, is_following: bool) -> None:
        """Records whether a peer follows the store, from its heartbeat."""
        if is_following:
            self._following_s[node_id] = self._clock.monotonic_s()
        else:
            self._following_s.pop(node_id, None)

    def should_follow(self) -> bool:
        """Returns whether this node should follow the store now."""
        now_s = self._clock.monotonic_s()
        self._forgive_pause(now_s)
        ranking = self._ranking()
        own_id = self._members.own.node_id
        rank = ranking.index(own_id) if own_id in ranking else len(ranking)
        following = self._following(now_s)
        if self._is_elected:
            # Of two followers, the one with the lower rank continues.
            self._is_elected = not following or rank < ranking.index(
                following[0]
            )
        elif following:
            self._last_follower_s = max(self._last_follower_s, now_s)
        else:
            delay_s = min(rank * TAKEOVER_STEP_S, MAX_TAKEOVER_DELAY_S)
            self._is_elected = now_s - self._last_follower_s >= delay_s
        return self._is_elected

    def _forgive_pause(self, now_s: float) -> None:
        """Does not count a pause of this process against the followers."""
        paused_s = now_s - self._checked_s
        self._checked_s = now_s
        if paused_s < PAUSE_S:
            return
        self._last_follower_s += paused_s
        for node_id in self._following_s:
            self._following_s[node_id] += paused_s

    def _following(self, now_s: float) -> list[str]:
        """Returns the other nodes that follow, in the order of their rank."""
        return [
            node_id
            for node_id in self._ranking()
            if now_s - self._following_s.get(node_id, -math.inf)
            <= FOLLOWER_TIMEOUT_S
        ]

    def _ranking(self) -> collections.abc.Sequence[str]:
        return self._members.cached("store-followers", self._rank)

    def _rank(self) -> collections.abc.Sequence[str]:
        # Includes nodes that were discovered but have not connected yet: when
        # all nodes start at once, none has connected.
        own = self._members.own
        node_ids = [
            record.node_id
            for record in self._members.live()
            if record.data_centre == own.data_centre
            and record.status != member_status.MemberStatus.LEAVING
        ]
        return node_roles.rank(node_ids, f"store/{own.data_centre}")
