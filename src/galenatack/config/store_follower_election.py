"""Elects the nodes that follow the shared tables in each region."""

import collections
import collections.abc
import logging
import math
import typing

from galenatack.interfaces import clock as clock_interface
from galenatack.membership import member_table
from galenatack.membership import node_roles
from galenatack.model import member_status

FOLLOWERS_PER_REGION = 2
"""The store may be silent to one of them without an error."""

HEARTBEAT_TIMEOUT_S = 1.6
"""A linked follower without a heartbeat for this long is considered gone;
heartbeats are sent each second."""

LINK_TIMEOUT_S = 3.5
"""After this time without a heartbeat there is no link any more, and the member
table tells whether the node lives: silent links have raised a suspicion."""

TAKEOVER_STEP_S = 0.4
"""Extra delay of each rank before a node takes over, so that few nodes do and
not all of them. A follower is known to all nodes within this time."""

MAX_TAKEOVER_DELAY_S = 8.0
"""Limit on the takeover delay of any rank."""

PAUSE_S = 0.6
"""A check this late means that this process was paused. Heartbeats received
meanwhile have not been handled yet, so their absence proves nothing."""

CLAIM_S = 0.8
"""Time in which an elected node claims to follow before the store has answered,
so that no further node takes over meanwhile."""

START_DELAY_S = 0.25
"""Time in which peers can connect to a starting node and send it their rows,
before it reads whole tables itself."""

_LOGGER = logging.getLogger(__name__)

_ELIGIBLE = frozenset(
    {member_status.MemberStatus.JOINING, member_status.MemberStatus.SERVING}
)


class _Heard(typing.NamedTuple):
    """The last heartbeat of a linked node."""

    time_s: float
    is_following: bool


class StoreFollowerElection:
    """Decides whether this node follows the store or gets rows from peers.

    Two nodes of each region follow the store, in different data centres if
    possible, so a change is sent from the store to a region twice, however
    many nodes and data centres it has. The other nodes are passive while two
    nodes of the region say that they follow: in their heartbeats to linked
    nodes, and in their member records to all. Otherwise the nodes of the lowest
    ranks take over. A node without peers follows the store itself.

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
        self._heard: dict[str, _Heard] = {}
        # Nodes whose last heartbeat claimed to follow.
        self._claimants: set[str] = set()
        self._is_elected = False
        self._logged: tuple[str, ...] | None = None
        self._elected_s = -math.inf
        # Delays a takeover at the start, as after the loss of a follower.
        self._complete_s = clock.monotonic_s() + START_DELAY_S
        self._checked_s = clock.monotonic_s()

    @property
    def followers(self) -> tuple[str, ...]:
        """Nodes of the region that follow the store as far as is known."""
        own_id = self._members.own.node_id
        others = self._following(self._clock.monotonic_s())
        return tuple(sorted([own_id, *others] if self._is_elected else others))

    @property
    def is_claiming(self) -> bool:
        """True for a short time after the election of this node."""
        age_s = self._clock.monotonic_s() - self._elected_s
        return self._is_elected and age_s <= CLAIM_S

    def record_heartbeat(self, node_id: str, *, is_following: bool) -> None:
        """Records whether a peer follows the store, from its heartbeat."""
        now_s = self._clock.monotonic_s()
        self._heard[node_id] = _Heard(now_s, is_following)
        if is_following:
            self._claimants.add(node_id)
        else:
            self._claimants.discard(node_id)

    def should_follow(self) -> bool:
        """Returns whether this node should follow the store now."""
        now_s = self._clock.monotonic_s()
        self._forgive_pause(now_s)
        following = self._spread(self._following(now_s))
        if self._is_elected:
            # Of too many followers, those with the lower ranks continue.
            own_rank = self._rank(self._members.own.node_id)
            ahead = [n for n in following if self._rank(n) < own_rank]
            self._is_elected = self._is_vacant_beside(ahead)
        elif not self._is_vacant_beside(following):
            self._complete_s = max(self._complete_s, now_s)
        else:
            delay_s = self._takeover_delay_s(following)
            self._is_elected = now_s - self._complete_s >= delay_s
            self._elected_s = now_s
        self._log_change(following)
        return self._is_elected

    def _log_change(self, following: list[str]) -> None:
        known = (str(self._is_elected), *following)
        if known != self._logged:
            self._logged = known
            _LOGGER.info(
                "event=store-followers elected=%s others=%s",
                self._is_elected,
                ",".join(following) or "-",
            )

    def _is_vacant_beside(self, following: list[str]) -> bool:
        """Returns whether this node may follow in addition to other nodes."""
        return len(following) < FOLLOWERS_PER_REGION and self._is_candidate(
            self._members.own.node_id, following
        )

    def _is_candidate(self, node_id: str, following: list[str]) -> bool:
        """Returns whether a node's data centre has no follower yet."""
        covered = {self._data_centre(other) for other in following}
        return (
            self._has_one_data_centre()
            or self._data_centre(node_id) not in covered
        )

    def _spread(self, following: list[str]) -> list[str]:
        """Returns the first follower of each data centre.

        In a region with a single data centre, returns all followers.
        """
        if self._has_one_data_centre():
            return following
        first: dict[str, str] = {}
        for node_id in following:
            first.setdefault(self._data_centre(node_id), node_id)
        return list(first.values())

    def _has_one_data_centre(self) -> bool:
        return self._members.cached(
            "has-one-data-centre",
            lambda: len({self._data_centre(n) for n in self._ranking()}) <= 1,
        )

    def _data_centre(self, node_id: str) -> str:
        record = self._members.get(node_id)
        return record.data_centre if record else ""

    def _forgive_pause(self, now_s: float) -> None:
        """Does not count a pause of this process against the followers."""
        paused_s = now_s - self._checked_s
        self._checked_s = now_s
        if paused_s < PAUSE_S:
            return
        self._complete_s += paused_s
        for node_id, heard in self._heard.items():
            self._heard[node_id] = heard._replace(
                time_s=heard.time_s + paused_s
            )

    def _takeover_delay_s(self, following: list[str]) -> float:
        """Returns how long this node lets nodes of lower rank take over."""
        own_rank = self._rank(self._members.own.node_id)
        candidates_ahead = sum(
            rank < own_rank
            and node_id not in following
            and self._is_candidate(node_id, following)
            for node_id, rank in self._ranking().items()
        )
        vacant = FOLLOWERS_PER_REGION - len(following)
        steps = max(0, candidates_ahead - vacant + 1)
        return min(steps * TAKEOVER_STEP_S, MAX_TAKEOVER_DELAY_S)

    def _following(self, now_s: float) -> list[str]:
        """Returns the other nodes of the region that follow, by rank."""
        ranking = self._ranking()
        claimants = self._claimants | self._members.cached(
            "store-claimants", self._find_claimants
        )
        claimants.discard(self._members.own.node_id)
        following = [
            node_id
            for node_id in claimants
            if node_id in ranking and self._is_following(node_id, now_s)
        ]
        return sorted(following, key=ranking.__getitem__)

    def _find_claimants(self) -> frozenset[str]:
        return frozenset(
            record.node_id
            for record in self._members.live()
            if record.follows_store
        )

    def _is_following(self, node_id: str, now_s: float) -> bool:
        heard = self._heard.get(node_id)
        if heard is not None:
            silent_s = now_s - heard.time_s
            if silent_s <= HEARTBEAT_TIMEOUT_S:
                return heard.is_following
            if silent_s <= LINK_TIMEOUT_S:
                return False
        record = self._members.get(node_id)
        return record is not None and record.follows_store

    def _rank(self, node_id: str) -> int:
        ranking = self._ranking()
        return ranking.get(node_id, len(ranking))

    def _ranking(self) -> collections.abc.Mapping[str, int]:
        return self._members.cached("store-followers", self._rank_nodes)

    def _rank_nodes(self) -> dict[str, int]:
        """Returns the ranks of the nodes; data centres take turns.

        Includes nodes that were discovered but have not connected yet: when
        all nodes start at once, none has connected.
        """
        own = self._members.own
        data_centres = {
            record.node_id: record.data_centre
            for record in self._members.live()
            if record.region == own.region and record.status in _ELIGIBLE
        }
        turns: collections.Counter[str] = collections.Counter()
        order = []
        for node_id in node_roles.rank(data_centres, f"store/{own.region}"):
            data_centre = data_centres[node_id]
            order.append((turns[data_centre], len(order), node_id))
            turns[data_centre] += 1
        return {
            node_id: rank for rank, (_, _, node_id) in enumerate(sorted(order))
        }
