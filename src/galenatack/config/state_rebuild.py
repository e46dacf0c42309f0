"""Recovers the newest configuration after a start."""

import collections.abc
import contextlib

from galenatack import exceptions
from galenatack.config import platform_log
from galenatack.config import propagation
from galenatack.config import retry_backoff
from galenatack.interfaces import clock
from galenatack.interfaces import peer_network
from galenatack.interfaces import random_source

ENOUGH_PEERS = 3
# One heartbeat interval; before that a new node may not know the other nodes
# of its data centre.
MIN_PEER_PHASE_S = 1.0
PLATFORM_FALLBACK_S = 3.0
# Each node reads the platform once at a random time in this window: 4,400
# nodes that start at once without peers make 147 reads/s.
FALLBACK_WINDOW_S = 30.0
_ROUND_BASE_S = 0.2
_ROUND_CAP_S = 1.0

Live = collections.abc.Callable[[], collections.abc.Collection[str]]


class StateRebuild:
    """Rebuilds the state of a new node, then settles its propagation.

    A version that this node ran before a crash was held by two other nodes of
    its data centre, or by all live ones. The newest reply is therefore safe
    if it comes from the platform, from `ENOUGH_PEERS` nodes of the data
    centre, or from all of its nodes but one. Otherwise the node waits:
    running an older state than before is worse than answering `not-run` for a
    while.

    Args:
        node_id: Id of this node.
        propagation: Pulls from the peers and accepts the state.
        log: Reads changes from the platform.
        peers: Links to other nodes.
        live: Returns the live node ids of this data centre.
        is_reader: Returns whether this node reads the platform.
        clock: Source of time.
        rng: Source of jitter.
        fallback_window_s: Longest random delay before the platform is read.
    """

    def __init__(
        self,
        *,
        node_id: str,
        propagation: propagation.Propagation,
        log: platform_log.PlatformLog,
        peers: peer_network.PeerNetwork,
        live: Live,
        is_reader: collections.abc.Callable[[], bool],
        clock: clock.Clock,
        rng: random_source.RandomSource,
        fallback_window_s: float = FALLBACK_WINDOW_S,
    ):
        self._node_id = node_id
        self._propagation = propagation
        self._log = log
        self._peers = peers
        self._live = live
        self._is_reader = is_reader
        self._clock = clock
        self._rng = rng
        self._window_s = fallback_window_s
        self._replied: set[str] = set()

    async def run(self) -> None:
        """Runs until the node has settled."""
        start_s = self._clock.monotonic_s()
        read_at_s = start_s + PLATFORM_FALLBACK_S + self._fallback_delay_s()
        backoff = retry_backoff.RetryBackoff(
            rng=self._rng, base_s=_ROUND_BASE_S, cap_s=_ROUND_CAP_S
        )
        while True:
            await self._pull_from_peers()
            elapsed_s = self._clock.monotonic_s() - start_s
            if self._has_enough_replies(elapsed_s):
                break
            is_fallback_due = start_s + elapsed_s >= read_at_s
            if is_fallback_due or self._may_read_as_reader(elapsed_s):
                if await self._read_platform():
                    break
                if is_fallback_due:
                    read_at_s = start_s + elapsed_s + self._fallback_delay_s()
            await self._clock.sleep_s(backoff.next_s())
        await self._propagation.finish_rebuild()

    def _fallback_delay_s(self) -> float:
        return self._rng.uniform(0.0, self._window_s)

    def _others(self) -> set[str]:
        return set(self._live()) - {self._node_id}

    def _has_enough_replies(self, elapsed_s: float) -> bool:
        others = self._others()
        replied = self._replied & others
        if len(replied) >= ENOUGH_PEERS:
            return True
        if not replied or elapsed_s < MIN_PEER_PHASE_S:
            return False
        allowed_missing = 1 if len(others) > 1 else 0
        return len(others - replied) <= allowed_missing

    def _may_read_as_reader(self, elapsed_s: float) -> bool:
        """Returns whether this node may read before the fallback is due.

        A node that knows no other nodes assumes every role, so its rank is
        not meaningful then.
        """
        is_ranked = elapsed_s >= MIN_PEER_PHASE_S and bool(self._others())
        return is_ranked and self._is_reader()

    async def _pull_from_peers(self) -> None:
        """Pulls from nodes of the own data centre first, then from others.

        Replies stay valid in later rounds: the held seq of a node never
        decreases while its process runs.
        """
        own = self._others()
        await self._pull_from_some(own, already=len(self._replied & own))
        elsewhere = self._peers.neighbours() - own
        await self._pull_from_some(elsewhere, already=len(self._replied))

    async def _pull_from_some(
        self, candidates: collections.abc.Set[str], *, already: int
    ) -> None:
        left = sorted(candidates - self._replied)
        before = len(self._replied)
        while left and already + len(self._replied) - before < ENOUGH_PEERS:
            await self._pull_from(left.pop(self._rng.randrange(len(left))))

    async def _pull_from(self, peer_id: str) -> None:
        with contextlib.suppress(exceptions.PeerError):
            await self._propagation.pull_from(peer_id)
            self._replied.add(peer_id)

    async def _read_platform(self) -> bool:
        try:
            missing = await self._log.read_missing()
        except exceptions.PlatformError:
            return False
        if missing is not None:
            await self._propagation.accept_delta(missing)
        return True
