"""Rollout orders and their progress, as known to this node."""

import collections
import logging

from galenatack.interfaces import clock as clock_interface
from galenatack.model import rollout_order
from galenatack.model import rollout_phase
from galenatack.model import rollout_progress
from galenatack.model import store_revision
from galenatack.moves import withdrawals

_LOGGER = logging.getLogger(__name__)

_Order = rollout_order.RolloutOrder
_Progress = rollout_progress.RolloutProgress
_Phase = rollout_phase.RolloutPhase

MAX_ORDERS_SEEN = 16
"""Number of orders of a service that are recognised in a restored store."""

_PHASE_RANKS = {
    _Phase.TRIAL: 0,
    _Phase.SHIFT: 1,
    _Phase.ALL: 2,
    _Phase.DONE: 3,
    _Phase.TAKEN_BACK: 3,
}


def move_id(order: _Order) -> str:
    """Returns the identifier of an order in withdrawals."""
    return str(order.revision)


class RolloutRegistry:
    """Latest order and progress of each service.

    The store may be restored from a copy. Then it shows old orders and progress
    again, or none. Neither goes back: the operator writes lost orders again,
    and `lost` returns the progress that the nodes have to.

    Args:
        clock: Source of time.
        withdrawn: Withdrawals that nodes announced to each other.
    """

    def __init__(
        self,
        *,
        clock: clock_interface.Clock,
        withdrawn: withdrawals.Withdrawals,
    ):
        self._clock = clock
        self._withdrawn = withdrawn
        self._orders: dict[str, _Order] = {}
        self._seen: dict[str, collections.deque[_Order]] = (
            collections.defaultdict(
                lambda: collections.deque(maxlen=MAX_ORDERS_SEEN)
            )
        )
        self._order_rows: dict[str, int] = {}
        self._received_s: dict[str, float] = {}
        self._progress: dict[str, _Progress] = {}
        self._progress_rows: dict[str, int] = {}
        self._missing: set[str] = set()
        self._lost_since_s: dict[str, float] = {}
        self._taken_back: set[tuple[str, str]] = set()

    def update_order(self, order: _Order) -> None:
        """Stores an order unless the same or a newer one is known."""
        if not self._is_new(order):
            return
        self._seen[order.service].append(order)
        self._orders[order.service] = order
        self._received_s[order.service] = self._clock.monotonic_s()
        self._taken_back.discard((order.service, order.version))
        _LOGGER.info(
            "event=rollout-ordered service=%s version=%s duration_ms=%d"
            " revision=%d",
            order.service,
            order.version,
            order.duration_ms,
            order.revision,
        )

    def _is_new(self, order: _Order) -> bool:
        """Returns whether an order replaces the known one of its service."""
        known = self._orders.get(order.service)
        row = _row_revision(order)
        latest_row = self._order_rows.get(order.service, 0)
        self._order_rows[order.service] = max(row, latest_row)
        if known is None:
            return True
        known_row = _row_revision(known)
        if row <= latest_row:
            # Peers also send the rows that a restored store has lost.
            return (
                not _is_same_era(row, latest_row)
                and order.revision > store_revision.number(latest_row)
                and (row > known_row or not _is_same_era(row, known_row))
                and not _is_same_order(order, known)
            )
        if _is_same_era(row, known_row):
            return True
        if _is_same_order(order, known):
            self._continue(known, order)
            return False
        return not any(
            seen.revision == order.revision and _is_same_order(seen, order)
            for seen in self._seen[order.service]
        )

    def _continue(self, known: _Order, order: _Order) -> None:
        """Continues a known order under its row in a restored store.

        Another row of the same era with the same content is a new order.
        """
        self._orders[order.service] = order
        if known.revision == order.revision:
            return
        if self._withdrawn.is_withdrawn(
            known.service, known.version, move_id(known)
        ):
            self._taken_back.add((known.service, known.version))
        progress = self._progress.get(order.service)
        if progress is not None and progress.order_revision == known.revision:
            self._progress[order.service] = progress._replace(
                order_revision=order.revision
            )
            self._note_lost(order.service)

    def remove_order(self, service: str, row_revision: int) -> None:
        """Removes the order of a service after its row was deleted.

        An order that a restored store lacks is kept.
        """
        known = self._orders.get(service)
        if known is None or not _is_same_era(
            _row_revision(known), row_revision
        ):
            return
        del self._orders[service]

    def update_progress(self, progress: _Progress) -> None:
        """Stores committed progress unless the same or newer is known."""
        service = progress.service
        known = self._progress.get(service)
        if progress.revision > self._progress_rows.get(service, 0):
            self._progress_rows[service] = progress.revision
            self._missing.discard(service)
        if known is None:
            self._store(progress)
        elif _is_same_era(known.revision, progress.revision):
            if progress.revision > known.revision:
                self._store(progress)
        elif progress.revision < known.revision:
            # Peers also send the rows that a restored store has lost.
            if self._is_behind(known, progress):
                self._store(progress)
                self._note_lost(service)
        elif self._is_behind(progress, known):
            self._note_lost(service)
        else:
            self._store(progress)

    def remove_progress(self, service: str, row_revision: int) -> None:
        """Handles that the row of a service is missing in a restored store."""
        known = self._progress.get(service)
        if known is None or _is_same_era(known.revision, row_revision):
            return
        self._progress_rows[service] = row_revision
        self._missing.add(service)
        self._note_lost(service)

    def lost(self) -> tuple[tuple[_Progress, float], ...]:
        """Returns the progress that the store has lost, and for how long.

        The time is given in seconds.
        """
        now_s = self._clock.monotonic_s()
        return tuple(
            (self._progress[service], now_s - since_s)
            for service, since_s in self._lost_since_s.items()
        )

    def _note_lost(self, service: str) -> None:
        self._lost_since_s.setdefault(service, self._clock.monotonic_s())

    def _is_behind(self, first: _Progress, second: _Progress) -> bool:
        """Returns whether the first is progress that the second has passed."""
        if first.order_revision == second.order_revision:
            return _PHASE_RANKS[first.phase] < _PHASE_RANKS[second.phase]
        order = self._orders.get(first.service)
        return order is not None and order.revision == second.order_revision

    def _is_ordered_again(self, progress: _Progress) -> bool:
        """Returns whether another order for the same version is known."""
        order = self._orders.get(progress.service)
        return (
            order is not None
            and order.version == progress.version
            and order.revision != progress.order_revision
        )

    def _store(self, progress: _Progress) -> None:
        self._lost_since_s.pop(progress.service, None)
        self._progress[progress.service] = progress
        if progress.phase == _Phase.TAKEN_BACK and not self._is_ordered_again(
            progress
        ):
            self._taken_back.add((progress.service, progress.version))
        _LOGGER.info(
            "event=rollout-phase service=%s version=%s phase=%s by=%s"
            " revision=%d reason=%r",
            progress.service,
            progress.version,
            progress.phase,
            progress.written_by,
            progress.revision,
            progress.reason,
        )

    def active(self) -> tuple[_Order, ...]:
        """Returns the orders that are not finished."""
        return tuple(
            order
            for order in self._orders.values()
            if self.phase(order) not in rollout_phase.FINAL
        )

    def active_order(self, service: str) -> _Order | None:
        """Returns the order of a service if it is not finished."""
        order = self._orders.get(service)
        if order is None or self.phase(order) in rollout_phase.FINAL:
            return None
        return order

    def progress(self, order: _Order) -> _Progress | None:
        """Returns the committed progress of an order, or None."""
        progress = self._progress.get(order.service)
        if progress is None or progress.order_revision != order.revision:
            return None
        return progress

    def known_revision(self, service: str) -> int:
        """Returns the revision of the progress row of a service, or 0."""
        if service in self._missing:
            return 0
        return self._progress_rows.get(service, 0)

    def phase(self, order: _Order) -> str:
        """Returns the phase of an order; the trial before any progress."""
        progress = self.progress(order)
        trial = rollout_phase.RolloutPhase.TRIAL.value
        return progress.phase if progress else trial

    def age_s(self, order: _Order) -> float:
        """Returns the time since this node received an order."""
        return self._clock.monotonic_s() - self._received_s[order.service]

    def settled_version(self, service: str) -> str | None:
        """Returns the version of the last rollout if it is done, or None."""
        progress = self._progress.get(service)
        done = rollout_phase.RolloutPhase.DONE
        if progress is None or progress.phase != done:
            return None
        return progress.version

    def is_withdrawn(self, service: str, version: str) -> bool:
        """Returns whether a version must not get calls."""
        if (service, version) in self._taken_back:
            return True
        order = self._orders.get(service)
        if order is None or order.version != version:
            return False
        progress = self.progress(order)
        done = rollout_phase.RolloutPhase.DONE
        if progress is not None and progress.phase == done:
            return False
        return self._withdrawn.is_withdrawn(service, version, move_id(order))


def _row_revision(order: _Order) -> int:
    return order.row_revision or order.revision


def _is_same_era(first_revision: int, second_revision: int) -> bool:
    return store_revision.era(first_revision) == store_revision.era(
        second_revision
    )


def _is_same_order(first: _Order, second: _Order) -> bool:
    return (first.version, first.duration_ms) == (
        second.version,
        second.duration_ms,
    )
