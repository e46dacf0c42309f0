"""Picks the old or the new version for each outbound call of a move."""

import collections.abc

from galenatack.interfaces import clock as clock_interface
from galenatack.interfaces import random_source
from galenatack.invariants import bad_version
from galenatack.model import move_phase
from galenatack.model import move_state
from galenatack.moves import withdrawals as withdrawals_module

CAP_PERMILLE = 50
FULL_PERMILLE = 1000
# Calls that stay on the old version until the verdict: without them a fault
# of the new version cannot be told from an incident that strikes both.
CONTROL_PERMILLE = 50
# Bursts start by the wall clock, so that those of all callers coincide and
# the few active targets see the load that they will see after the move.
BURST_PERIOD_MS = 10_000


class VersionPicker:
    """Picks versions at one node; keeps the cumulative cap by itself.

    Each node keeps the cap over its own calls, which keeps it for the sum.
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
        self._move_id = ""
        self._calls = 0
        self._new_calls = 0

    def pick(
        self,
        move: move_state.MoveState,
        version_counts: collections.abc.Mapping[str, int],
    ) -> str:
        """Returns the version for one call.

        Args:
            move: The move in force on this node.
            version_counts: Live targets of each version.
        """
        if move.move_id != self._move_id:
            self._move_id = move.move_id
            self._calls = 0
            self._new_calls = 0
        self._calls += 1
        version = move.from_version
        if self._is_new(move, version_counts):
            version = move.to_version
            self._new_calls += 1
        bad_version.check_share(
            move,
            calls=self._calls,
            new_calls=self._new_calls,
            cap_permille=CAP_PERMILLE,
        )
        return version

    def _is_new(
        self,
        move: move_state.MoveState,
        version_counts: collections.abc.Mapping[str, int],
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
            return self._is_first_share(move, version_counts)
        limit_permille = FULL_PERMILLE - CONTROL_PERMILLE
        share_permille = min(move.share_permille, limit_permille)
        return self._rng.random() * FULL_PERMILLE < share_permille

    def _is_first_share(
        self,
        move: move_state.MoveState,
        version_counts: collections.abc.Mapping[str, int],
    ) -> bool:
        allowed = self._calls * min(CAP_PERMILLE, move.share_permille)
        if (self._new_calls + 1) * FULL_PERMILLE > allowed:
            return False
        load = burst_share(move, version_counts)
        phase_ms = (self._clock.wall_ms() - move.started_ms) % BURST_PERIOD_MS
        burst_ms = BURST_PERIOD_MS * move.share_permille / FULL_PERMILLE / load
        is_burst = phase_ms >= BURST_PERIOD_MS - burst_ms
        return is_burst and self._rng.random() < load


def burst_share(
    move: move_state.MoveState,
    version_counts: collections.abc.Mapping[str, int],
) -> float:
    """Returns the share that puts normal load on the active targets."""
    present = version_counts.get(move.to_version, 0)
    active = min(move.active_targets or present, present)
    old = max(1, version_counts.get(move.from_version, 0))
    return min(1.0, max(active / old, move.share_permille / FULL_PERMILLE))
