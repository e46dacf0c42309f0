"""How long ago this node's keys were known to be those of the store."""

import collections.abc
import logging
import math

from galenatack import exceptions
from galenatack.interfaces import clock as clock_interface

RETRY_AFTER_MS = 1000
"""About the time in which nodes find another way to the store."""

_LOGGER = logging.getLogger(__name__)


class KeyFreshness:
    """Knows a time at which this node's configuration was the store's.

    Such a time is never later than the truth. It is the time of the request of
    a watch or read that the store has answered, or, from another node, the
    time of the question minus the age in the reply. Delays and pauses of any
    process or link therefore only make keys look older.

    Args:
        clock: Source of time.
        max_age_s: Age above which keys are refused.
        own_version: Returns the version of the configuration in force.

    Attributes:
        refused_total: Number of refused checks.
    """

    def __init__(
        self,
        *,
        clock: clock_interface.Clock,
        max_age_s: float,
        own_version: collections.abc.Callable[[], int],
    ):
        self._clock = clock
        self._max_age_s = max_age_s
        self._own_version = own_version
        self._current_s = -math.inf
        # What a peer has told of a version that this node does not run yet.
        self._pending: tuple[float, int] | None = None
        self._is_refusing = False
        self.refused_total = 0

    def age_s(self) -> float:
        """Returns the age of the keys; infinite if it was never known."""
        if self._pending and self._own_version() >= self._pending[1]:
            self.confirm(self._pending[0])
            self._pending = None
        return self._clock.monotonic_s() - self._current_s

    def confirm(self, time_s: float) -> None:
        """Records a monotonic time at which the configuration was current.

        Rows that were current once are replaced by newer ones only, so that an
        earlier time never revokes a later one.
        """
        self._current_s = max(self._current_s, time_s)

    def hear(self, time_s: float, version: int) -> None:
        """Records that another node's configuration was current.

        Counts for this node once it runs that version or a newer one.

        Args:
            time_s: Monotonic time of this node.
            version: Version that the other node runs.
        """
        if self._own_version() >= version:
            self.confirm(time_s)
        elif self._pending is None or time_s > self._pending[0]:
            self._pending = (time_s, version)

    def check(self) -> None:
        """Refuses requests while the keys may be outdated.

        Raises:
            exceptions.KeysOutdatedError: The age is unknown or too high.
        """
        age_s = self.age_s()
        is_refusing = age_s > self._max_age_s
        if is_refusing != self._is_refusing:
            self._is_refusing = is_refusing
            self._log(age_s)
        if is_refusing:
            self.refused_total += 1
            raise exceptions.KeysOutdatedError(
                "this node cannot tell which keys are valid",
                retry_after_ms=RETRY_AFTER_MS,
            )

    def _log(self, age_s: float) -> None:
        if self._is_refusing:
            _LOGGER.warning(
                "event=keys-outdated age_s=%.1f max_age_s=%.1f"
                " next=check-links-and-store",
                age_s,
                self._max_age_s,
            )
        else:
            _LOGGER.info(
                "event=keys-current age_s=%.1f refused=%d",
                age_s,
                self.refused_total,
            )
