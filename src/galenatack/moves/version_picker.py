"""Picks the old or the new version for each outbound call of a move."""

import collections
import collections.abc

from galenatack.interfaces import clock as clock_interface
from galenatack.interfaces import random_source
from galenatack.invariants import bad_version
from galenatack.model import move_phase
from galenatack.model import move_state
from galenatack.moves import withdrawals as withdrawals_module

CAP_PERMILLE = 50
FULL_PERMILLE = 1000
# Calls that stay on the old version until the verdict. Without this control
# group, a fault of the new version cannot be distinguished from an incident
# that affects both.
CONTROL_PERMILLE = 50
# Calls needed before the route frequencies are usable.
BALANCE_MIN_CALLS = 50
BALANCE_WEIGHT = 0.5
MAX_ROUTE_SHARE = 0.8
BALANCE_MAX_SHARE = 0.5
# Bursts are aligned to the start of the move by the wall clock. The bursts of
# all callers coincide, which gives the few active targets the load they will
# have after the move.
BURST_PERIOD_MS = 10_000


class _Counts:
    """Calls of one move at this node."""

    def __init__(self, move_id: str):
        self.move_id = move_id
        self.calls = 0
        self.new_calls = 0
        self.route_calls: collections.Counter[str] = collections.Counter()


class VersionPicker:
    """Picks versions at one node and enforces the cumulative cap there.

    Each node enforces the cap over its own calls, so it holds for their sum.
    """

    def __init__(
        self,
        *,
        clock: clock_interface.Clock,
        rng: random_source.RandomSource,
        withdrawals: withdrawals_module.Withdrawals,
    ):
        self._clock = clock
        self._rng = rng
        self._withdrawals = withdrawals
        self._counts: dict[str, _Counts] = {}

    def pick(
        self,
        move: move_state.MoveState,
        version_counts: collections.abc.Mapping[str, int],
        *,
        route: str = "",
    ) -> str:
        """Returns the version for one call.

        Args:
            move: The move in force on this node.
            version_counts: Live targets of each version.
            route: Route of the call; rare routes get a larger share.
        """
        counts = self._counts_for_move(move)
        counts.calls += 1
        counts.route_calls[route] += 1
        version = move.from_version
        if self._is_new(move, version_counts, route):
            version = move.to_version
            counts.new_calls += 1
            self._check_new_call(move)
        bad_version.check_promise(
            move, version=version, now_ms=self._clock.wall_ms()
        )
        bad_version.check_share(
            move,
            calls=counts.calls,
            new_calls=counts.new_calls,
            cap_permille=CAP_PERMILLE,
        )
        return version

    def _counts_for_move(self, move: move_state.MoveState) -> "_Counts":
        """Returns the counts of a move; several services may move at once."""
        counts = self._counts.get(move.service)
        if counts is None or counts.move_id != move.move_id:
            counts = self._counts[move.service] = _Counts(move.move_id)
        return counts

    def _is_new(
        self,
        move: move_state.MoveState,
        version_counts: collections.abc.Mapping[str, int],
        route: str,
    ) -> bool:
        if move.phase == move_phase.MovePhase.DONE:
            return True
        if move.phase != move_phase.MovePhase.RUNNING:
            return False
        if not version_counts.get(move.to_version, 0):
            return False
        if self._withdrawals.is_withdrawn(
            move.service, move.to_version, move.move_id
        ):
            return False
        if self._clock.wall_ms() >= move.by_ms:
            return False
        if move.step == 0:
            return self._is_new_in_first_step(move, version_counts, route)
        share = move.share_permille / FULL_PERMILLE
        limit = 1.0 - CONTROL_PERMILLE / FULL_PERMILLE
        return self._rng.random() < min(
            limit, self._route_share(move, share, route)
        )

    def _is_new_in_first_step(
        self,
        move: move_state.MoveState,
        version_counts: collections.abc.Mapping[str, int],
        route: str,
    ) -> bool:
        counts = self._counts_for_move(move)
        allowed = counts.calls * min(CAP_PERMILLE, move.share_permille)
        if (counts.new_calls + 1) * FULL_PERMILLE > allowed:
            return False
        load = burst_share(move, version_counts)
        phase_ms = (self._clock.wall_ms() - move.started_ms) % BURST_PERIOD_MS
        burst_ms = BURST_PERIOD_MS * move.share_permille / FULL_PERMILLE / load
        is_burst = phase_ms >= BURST_PERIOD_MS - burst_ms
        return is_burst and self._rng.random() < self._route_share(
            move, load, route
        )

    def _check_new_call(self, move: move_state.MoveState) -> None:
        if move.phase == move_phase.MovePhase.DONE:
            return
        bad_version.check_new_call(
            service=move.service,
            version=move.to_version,
            move_id=move.move_id,
            fault_known_s=self._withdrawals.since_s(
                move.service, move.to_version, move.move_id
            ),
            now_s=self._clock.monotonic_s(),
        )

    def _route_share(
        self, move: move_state.MoveState, share: float, route: str
    ) -> float:
        """Returns the new version's share on a route, for `share` of all calls.

        Half of the new version's calls follow the traffic and half are
        spread evenly over the routes, because a fault on a rare route is
        visible only in calls of that route.
        """
        counts = self._counts_for_move(move)
        if counts.calls < BALANCE_MIN_CALLS or share > BALANCE_MAX_SHARE:
            return share
        even = (
            counts.calls / len(counts.route_calls) / counts.route_calls[route]
        )
        balanced = share * (1.0 - BALANCE_WEIGHT + BALANCE_WEIGHT * even)
        return min(MAX_ROUTE_SHARE, balanced)


def burst_share(
    move: move_state.MoveState,
    version_counts: collections.abc.Mapping[str, int],
) -> float:
    """Returns the share that gives the active targets their normal load."""
    new = version_counts.get(move.to_version, 0)
    active = min(move.active_targets or new, new)
    old = max(1, version_counts.get(move.from_version, 0))
    return min(1.0, max(active / old, move.share_permille / FULL_PERMILLE))
