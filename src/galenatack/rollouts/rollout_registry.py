"""Rollout orders and their progress, as known to this node."""

import logging

from galenatack.interfaces import clock as clock_interface
from galenatack.model import rollout_order
from galenatack.model import rollout_phase
from galenatack.model import rollout_progress
from galenatack.moves import withdrawals

_LOGGER = logging.getLogger(__name__)

_Order = rollout_order.RolloutOrder
_Progress = rollout_progress.RolloutProgress


def move_id(order: _Order) -> str:
    """Returns the identifier of an order in withdrawals."""
    return str(order.revision)


class RolloutRegistry:
    """Latest order and progress of each service.

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
        self._received_s: dict[str, float] = {}
        self._progress: dict[str, _Progress] = {}
        self._taken_back: set[tuple[str, str]] = set()

    def update_order(self, order: _Order) -> None:
        """Stores an order unless the same or a newer one is known."""
        known = self._orders.get(order.service)
        if known is not None and known.revision >= order.revision:
            return
        self._orders[order.service] = order
        self._received_s[order.service] = self._clock.monotonic_s()
        self._taken_back.discard((order.service, order.version))
        _LOGGER.info(
            "event=rollout-ordered service=%s version=%s duration_ms=%d"
            " revision=%d",
            *order,
        )

    def remove_order(self, service: str) -> None:
        """Removes the order of a service after its row was deleted."""
        self._orders.pop(service, None)

    def update_progress(self, progress: _Progress) -> None:
        """Stores committed progress unless the same or newer is known."""
        known = self._progress.get(progress.service)
        if known is not None and known.revision >= progress.revision:
            return
        self._progress[progress.service] = progress
        if progress.phase == rollout_phase.RolloutPhase.TAKEN_BACK:
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
        progress = self._progress.get(service)
        return progress.revision if progress else 0

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
