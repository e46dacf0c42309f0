"""Decides which requests a node still takes while it shuts down."""

import math

from galenatack import exceptions
from galenatack.interfaces import clock as clock_interface

ANSWER_MARGIN_S = 0.25
"""An answer may be ready this long after the deadline of its request: a target
answers by the deadline, and its answer still has to return."""

RETRY_AFTER_MS = 100
"""Other nodes can take the request as soon as it is sent to one of them."""


class ShutdownAdmission:
    """Refuses requests that could still run when the process ends.

    Before the shutdown each request is taken. At its beginning most callers
    do not know of it, so a request is taken if it is expected to end in time.
    Later, only a request whose deadline leaves enough time is taken.

    Args:
        clock: Source of time.
    """

    def __init__(self, *, clock: clock_interface.Clock):
        self._clock = clock
        self._ends_s = math.inf
        self._must_end_in_time = False

    def begin(self, ends_s: float) -> None:
        """Begins the shutdown; calls are cut at the monotonic time `ends_s`."""
        self._ends_s = ends_s

    def require_end_in_time(self) -> None:
        """From now on takes only requests that are certain to end in time."""
        self._must_end_in_time = True

    def check(self, deadline_s: float) -> None:
        """Lets a request pass that may be taken.

        Args:
            deadline_s: Monotonic time of the deadline of the request.

        Raises:
            exceptions.LeavingError: It could be cut by the end of the process.
        """
        latest_s = self._ends_s
        if self._must_end_in_time:
            latest_s -= max(0.0, deadline_s - self._clock.monotonic_s())
            latest_s -= ANSWER_MARGIN_S
        late_s = self._clock.monotonic_s() - latest_s
        if late_s > 0:
            raise exceptions.LeavingError(
                "this node is shutting down, the request could end"
                f" {late_s * 1000:.0f} ms too late",
                retry_after_ms=RETRY_AFTER_MS,
            )

    def left_s(self, deadline_s: float) -> float:
        """Returns how long a request may take: until its deadline or the end.

        Args:
            deadline_s: Monotonic time of the deadline of the request.
        """
        return min(deadline_s, self._ends_s) - self._clock.monotonic_s()
