"""Finds the newest configuration after a start."""

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
# One heartbeat: before it a fresh node may not know its data centre yet.
MIN_ASK_S = 1.0
PLATFORM_AFTER_S = 3.0
# One platform read per node in this window, spread evenly: 4,400 nodes
# starting at once without peers make 147 reads/s.
FALLBACK_WINDOW_S = 30.0
_ROUND_BASE_S = 0.2
_ROUND_CAP_S = 1.0

Live = collections.abc.Callable[[], collections.abc.Collection[str]]


class StateRebuild:
    """Settles the propagation of a fresh node.

    A version that this node ran before a crash was held by two others of
    its data centre, or by all live ones. So the newest answer is safe when
    it comes from the platform, from `ENOUGH_PEERS` nodes of the data centre,
    or from all of its nodes but one. Otherwise the node waits: running less
    than it ran before is worse than answering `not-run` for a while.

    Args:
        node_id: This node.
        propagation: Asks the peers and gets the result.
        log: Reads the platform.
        peers: The links.
        live: Returns the live node ids of this data centre.
        is_reader: Tells whether this node reads the platform.
        clock: Time.
        rng: Source of jitter.
        fallback_window_s: Longest wait for the turn at the platform.
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
        self._answered: set[str] = set()

    async def run(self) -> None:
        """Returns when the node has settled."""
        start_s = self._clock.monotonic_s()
        read_at_s = start_s + PLATFORM_AFTER_S + self._next_turn_s()
        waits = retry_backoff.RetryBackoff(
            rng=self._rng, base_s=_ROUND_BASE_S, cap_s=_ROUND_CAP_S
        )
        while True:
            await self._ask_peers()
            waited_s = self._clock.monotonic_s() - start_s
            if self._has_enough(waited_s):
                break
            has_turn = start_s + waited_s >= read_at_s
            if has_turn or self._reads_for_others(waited_s):
                if await self._read_platform():
                    break
                if has_turn:
                    read_at_s = start_s + waited_s + self._next_turn_s()
            await self._clock.sleep_s(waits.next_s())
        await self._propagation.finish_rebuild()

    def _next_turn_s(self) -> float:
        return self._rng.uniform(0.0, self._window_s)

    def _others(self) -> set[str]:
        return set(self._live()) - {self._node_id}

    def _has_enough(self, waited_s: float) -> bool:
        others = self._others()
        answered = self._answered & others
        if len(answered) >= ENOUGH_PEERS:
            return True
        if not answered or waited_s < MIN_ASK_S:
            return False
        allowed_missing = 1 if len(others) > 1 else 0
        return len(others - answered) <= allowed_missing

    def _reads_for_others(self, waited_s: float) -> bool:
        """Tells whether this node reads without waiting for its turn.

        A node that knows no other one takes every role, so the rank means
        nothing then.
        """
        is_ranked = waited_s >= MIN_ASK_S and bool(self._others())
        return is_ranked and self._is_reader()

    async def _ask_peers(self) -> None:
        """Asks the own data centre first, then others up to the count.

        Answers count for good: a held seq never falls while a node lives.
        """
        own = self._others()
        await self._ask_some(own, already=len(self._answered & own))
        elsewhere = self._peers.neighbours() - own
        await self._ask_some(elsewhere, already=len(self._answered))

    async def _ask_some(
        self, candidates: collections.abc.Set[str], *, already: int
    ) -> None:
        left = sorted(candidates - self._answered)
        before = len(self._answered)
        while left and already + len(self._answered) - before < ENOUGH_PEERS:
            await self._ask(left.pop(self._rng.randrange(len(left))))

    async def _ask(self, peer_id: str) -> None:
        with contextlib.suppress(exceptions.PeerError):
            await self._propagation.pull_from(peer_id)
            self._answered.add(peer_id)

    async def _read_platform(self) -> bool:
        try:
            found = await self._log.read_missing()
        except exceptions.PlatformError:
            return False
        if found is not None:
            await self._propagation.accept_delta(found)
        return True
