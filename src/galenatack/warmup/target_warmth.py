"""Whether the own target is cold, as far as its gate knows."""

import asyncio
import collections.abc
import logging

from galenatack.interfaces import clock as clock_interface
from galenatack.model import warm_up as warm_up_module
from galenatack.settings import fleet_bounds
from galenatack.warmup import sliding_pace

_LOGGER = logging.getLogger(__name__)

MS_PER_S = 1000.0

MIN_ASSUMED_S = 3.0
"""Two announcements of a target come within this time."""

LATE_ANNOUNCEMENT_S = 1.0
"""An announcement that comes this long after a target may have started was
probably not made before."""

REORDERED_S = 0.25
"""An answer that comes this soon after a statement may have been made before
it."""

MAX_LEFT_MS = 600_000
"""No target is cold for longer; a larger value is an error."""

LEFT_MARGIN_MS = 1000
"""A target may count its warm-up from a little later than its configured
duration does; a time beyond that is an error."""

COLD_PROBE_S = 1.0
"""Time after which a cold target that has answered nothing is asked again: its
last statement may have been wrong."""

CLOCK_STEP_S = 0.001
"""A shorter wait is none: it may end before the clock has moved."""

CHECKED_SHARE = 0.25
"""Share of the calls that a cold target may get in a second. If a warm one has
got as many in the last second, since it last answered, it is asked whether it
still is warm; fewer could not break the bound. The answer takes some
milliseconds, or longer if it waits for a slot; the remaining share leaves room
for the calls that are sent meanwhile."""


class TargetWarmth:
    """Joins what announcements, answers and probes say of the own target.

    A target may turn cold at any moment. Answers and probes are fresh; an
    announcement may be late, so that it only prolongs the time for which the
    target is cold. After an event that may have made the target cold, it is
    assumed to be so until it is known.

    Args:
        clock: Source of time.
        bounds: Bounds of the deployment.
        is_evacuated: Returns whether the data centre is evacuated; its targets
            get nothing then, not even probes.

    Attributes:
        bounds: The same; may be replaced.
        warm_up: Behaviour of the service's cold targets.
        is_configured: Whether the node has had a configuration.
        pace: The calls that were sent in the last second.
        probe_wanted: Set when `probe_wait_s` may have become shorter.
        epoch: Number of the latest assumption; what was asked before it tells
            nothing.
        starts: Number of calls that were sent.
        is_health_broken: Whether probes get no answers, so that announcements
            count as such.
    """

    def __init__(
        self,
        *,
        clock: clock_interface.Clock,
        bounds: fleet_bounds.FleetBounds,
        is_evacuated: collections.abc.Callable[[], bool] = lambda: False,
    ):
        self._clock = clock
        self._is_evacuated = is_evacuated
        self.bounds = bounds
        self.warm_up = warm_up_module.WarmUp()
        self.is_configured = False
        self.pace = sliding_pace.SlidingPace(clock=clock)
        self.probe_wanted = asyncio.Event()
        self.epoch = 0
        self.starts = 0
        self.is_health_broken = False
        self._known_starts = 0
        self._cold_until_s = 0.0
        self._prolonged_s = 0.0
        self._answered_s = 0.0
        self._shorter_announcements = 0
        self._assumed_s: float | None = None
        self._callbacks: list[collections.abc.Callable[[], None]] = []

    @property
    def is_cold(self) -> bool:
        """Whether the target is cold or may be, and then limits its calls."""
        if not self.warm_up.rate_per_s:
            return False
        return self._is_assumed or (
            self._clock.monotonic_s() < self._cold_until_s
        )

    @property
    def wants_probe(self) -> bool:
        """Whether the target is to be asked now."""
        return self.probe_wait_s() == 0.0

    def probe_wait_s(self) -> float | None:
        """Returns when the target is to be asked; None if nothing asks for it.

        0 means now.
        """
        if not self.warm_up.rate_per_s or not self.warm_up.probe_path:
            return None
        if self._is_evacuated():
            return None
        if self._is_assumed:
            return 0.0
        if self.is_cold:
            since_s = self._clock.monotonic_s() - self._answered_s
            left_s = COLD_PROBE_S - since_s
            return left_s if left_s > CLOCK_STEP_S else 0.0
        return 0.0 if self._has_unchecked_share() else None

    def _has_unchecked_share(self) -> bool:
        most = (
            self.warm_up.rate_per_s * self.bounds.cold_overshoot
            + self.bounds.cold_slack
        )
        unchecked = self.starts - self._known_starts
        unchecked = min(unchecked, self.pace.recent())
        return unchecked >= max(1.0, most * CHECKED_SHARE)

    @property
    def _is_assumed(self) -> bool:
        if self._assumed_s is None:
            return False
        lasts_s = max(MIN_ASSUMED_S, self.warm_up.duration_ms / MS_PER_S)
        return self._clock.monotonic_s() < self._assumed_s + lasts_s

    def subscribe(self, on_cold: collections.abc.Callable[[], None]) -> None:
        """Registers a callback for a target that has turned cold."""
        self._callbacks.append(on_cold)

    def configure(self, warm_up: warm_up_module.WarmUp) -> None:
        """Sets the behaviour of the service's cold targets."""
        self.is_configured = True
        self._set(warm_up, reason="configured")

    def learn_rate(self, rate_per_s: float) -> None:
        """Uses the rate that a caller knows until there is a configuration.

        A node that has started again gets calls as soon as its peers reach it,
        which may be before it has the configuration. Of callers whose
        configurations differ, the one with the lowest rate counts.

        Args:
            rate_per_s: Calls per second of a cold target; 0 without a limit.
        """
        known = self.warm_up.rate_per_s
        if self.is_configured or rate_per_s <= 0:
            return
        if not known or rate_per_s < known:
            warm_up = warm_up_module.WarmUp(rate_per_s=rate_per_s)
            self._set(warm_up, reason="rate-learned")

    def _set(self, warm_up: warm_up_module.WarmUp, *, reason: str) -> None:
        was_limited = self.warm_up.rate_per_s > 0
        self.warm_up = warm_up
        most_s = self._clock.monotonic_s() + self._most_left_ms() / MS_PER_S
        self._cold_until_s = min(self._cold_until_s, most_s)
        if warm_up.rate_per_s and not was_limited:
            self.assume(reason)
        self._request_probe()

    def start(self) -> None:
        """Handles the start of another target."""
        self._cold_until_s = 0.0
        self.assume("start")

    def assume(self, reason: str) -> None:
        """Assumes that the target is cold until it says whether it is."""
        was_cold = self.is_cold
        self.epoch += 1
        self._assumed_s = self._clock.monotonic_s()
        if self.is_cold and not was_cold:
            _LOGGER.info("event=target-assumed-cold reason=%s", reason)
            self._notify()
        self._request_probe()

    def record_start(self) -> None:
        """Counts a call that is sent to the target."""
        self.starts += 1
        self.pace.record_start()
        self._request_probe()

    def announce(self, left_ms: int) -> None:
        """Handles an announcement.

        Args:
            left_ms: Remaining time for which the target is cold.
        """
        now_s = self._clock.monotonic_s()
        was_cold = self.is_cold
        self._shorten_by_announcement(left_ms, now_s)
        if self._assumed_s is not None and (
            left_ms
            or (self.is_configured and not self.warm_up.probe_path)
            or now_s - self._assumed_s >= LATE_ANNOUNCEMENT_S
        ):
            self._assumed_s = None
        if self.is_health_broken:
            self._answered_s = now_s
            self._known_starts = self.starts
        if left_ms:
            self._prolong(left_ms, now_s, was_cold=was_cold)

    def answer(
        self, left_ms: int, *, epoch: int | None = None, starts: int | None
    ) -> None:
        """Handles an answer.

        Args:
            left_ms: Remaining time for which the target is cold.
            epoch: Number of the assumption when the target was asked; None for
                the present one.
            starts: Number of calls that had been sent then; None for all.
        """
        if epoch is not None and epoch != self.epoch:
            return
        now_s = self._clock.monotonic_s()
        was_cold = self.is_cold
        self._assumed_s = None
        self._answered_s = now_s
        self._known_starts = self.starts if starts is None else starts
        if left_ms:
            self._prolong(left_ms, now_s, was_cold=was_cold)
        if now_s - self._prolonged_s >= REORDERED_S:
            until_s = now_s + left_ms / MS_PER_S
            self._cold_until_s = min(self._cold_until_s, until_s)

    def _shorten_by_announcement(self, left_ms: int, now_s: float) -> None:
        """Believes the second announcement of a shorter time.

        One may be late; two in a row would both have been made before the
        longer time was stated only if they were late by their interval.
        """
        until_s = now_s + left_ms / MS_PER_S
        if (
            now_s - self._prolonged_s < LATE_ANNOUNCEMENT_S
            or until_s > self._cold_until_s - REORDERED_S
        ):
            self._shorter_announcements = 0
            return
        self._shorter_announcements += 1
        if self._shorter_announcements > 1:
            self._cold_until_s = until_s

    def _prolong(self, left_ms: int, now_s: float, *, was_cold: bool) -> None:
        until_s = now_s + min(left_ms, self._most_left_ms()) / MS_PER_S
        if until_s <= self._cold_until_s:
            return
        is_new = now_s >= self._cold_until_s
        self._cold_until_s = until_s
        self._prolonged_s = now_s
        if not self.warm_up.rate_per_s:
            return
        # The probe waits anew, for the time after which it asks again.
        self.probe_wanted.set()
        if is_new:
            _LOGGER.info(
                "event=target-cold left_ms=%d per_s=%g",
                left_ms,
                self.warm_up.rate_per_s,
            )
        if not was_cold:
            self._notify()

    def _most_left_ms(self) -> int:
        if not self.warm_up.duration_ms:
            return MAX_LEFT_MS
        return min(MAX_LEFT_MS, self.warm_up.duration_ms + LEFT_MARGIN_MS)

    def _notify(self) -> None:
        for callback in self._callbacks:
            callback()

    def _request_probe(self) -> None:
        if self.wants_probe:
            self.probe_wanted.set()
