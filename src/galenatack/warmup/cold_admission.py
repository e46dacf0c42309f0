"""Admission of calls to a target that may be cold."""

import collections

from galenatack import exceptions
from galenatack.warmup import target_warmth

MS_PER_S = 1000.0


class ColdAdmission:
    """Refuses at once the calls that a cold target cannot take now.

    The gate is the only way to its target, so that it keeps the bound for all
    nodes, without messages between them. Starts are counted while the target
    is warm as well: they count against the second in which it turns cold. So
    are those before the first configuration, which may set a rate.

    Args:
        warmth: Whether the target is cold.

    Attributes:
        warmth: The same.
        counts: Number of calls to the cold target, by `sent` or `refused`.
    """

    def __init__(self, *, warmth: target_warmth.TargetWarmth):
        self.warmth = warmth
        self._pace = warmth.pace
        self.counts: collections.Counter[str] = collections.Counter()

    @property
    def rate_per_s(self) -> float | None:
        """Calls per second that the target takes; None if it is warm."""
        if not self.warmth.is_cold:
            return None
        return self.warmth.warm_up.rate_per_s

    def check(self) -> None:
        """Lets a call pass if it could be sent now.

        Raises:
            exceptions.OverloadedError: The target is cold and has its share.
        """
        if self.warmth.is_cold:
            wait_s = self._pace.wait_s(self.warmth.warm_up.rate_per_s)
            if wait_s > 0:
                raise self.refusal()

    def take(self) -> None:
        """Counts a call that is sent now.

        Raises:
            exceptions.OverloadedError: The target is cold and has its share.
        """
        if self.warmth.is_configured and not self.warmth.warm_up.rate_per_s:
            return
        self.check()
        self.counts["sent"] += self.warmth.is_cold
        self.warmth.record_start()

    def refusal(self) -> exceptions.OverloadedError:
        """Returns the error of a call that is refused."""
        self.counts["refused"] += 1
        wait_s = self._pace.wait_s(self.warmth.warm_up.rate_per_s)
        return exceptions.OverloadedError(
            f"the target is cold and takes {self.warmth.warm_up.rate_per_s:g}"
            " calls/s",
            retry_after_ms=max(1, round(wait_s * MS_PER_S)),
        )
