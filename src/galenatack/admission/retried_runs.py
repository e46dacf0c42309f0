"""Share of retries among the runs of a target."""

from galenatack.admission import retry_slack
from galenatack.admission import sliding_sum
from galenatack.interfaces import clock as clock_interface
from galenatack.model import call_request


class RetriedRuns:
    """Limits the share of retries among the runs of the local target.

    The calls that a target makes follow its runs. The share of retries among
    the runs is therefore the share of descendants of retries among those calls,
    whatever their number and wherever they go.

    Args:
        clock: Source of time.
        slack: The node's part of the slack, with the bound.
    """

    def __init__(
        self,
        *,
        clock: clock_interface.Clock,
        slack: retry_slack.RetrySlack,
    ):
        self._clock = clock
        self._slack = slack
        self._runs = sliding_sum.SlidingSum()
        self._retries = sliding_sum.SlidingSum()
        self._of_retries = sliding_sum.SlidingSum()
        self._running = 0
        self._running_retries = 0
        self._running_of_retries = 0.0

    @property
    def retry_share(self) -> float:
        """Share of retries and their descendants among the running calls.

        It is the probability that a call which the target makes now does.
        """
        if not self._running:
            return 0.0
        retries = self._running_retries + self._running_of_retries
        return min(1.0, max(0.0, retries / self._running))

    def admits_retry(self) -> bool:
        """Returns whether a retry may run now."""
        bucket = self._bucket()
        bounds = self._slack.bounds
        runs = self._runs.total(bucket) + self._running + 1
        retries = self._retries.total(bucket) + self._running_retries + 1
        of_retries = self._of_retries.total(bucket) + self._running_of_retries
        slack = self._slack.retries()
        return (
            retries <= bounds.level_ratio * runs + slack
            and retries + of_retries <= bounds.usable_ratio * runs + slack
        )

    def start(self, call: call_request.CallRequest) -> None:
        """Counts a call that is sent to the target."""
        self._running += 1
        if call.is_retry:
            self._running_retries += 1
        else:
            self._running_of_retries += call.retry_share

    def end(self, call: call_request.CallRequest, *, has_run: bool) -> None:
        """Counts the end of a call; one that the target refused has not run."""
        self._running -= 1
        if call.is_retry:
            self._running_retries -= 1
        else:
            self._running_of_retries -= call.retry_share
        if not has_run:
            return
        bucket = self._bucket()
        self._runs.add(bucket)
        if call.is_retry:
            self._retries.add(bucket)
        elif call.retry_share:
            self._of_retries.add(bucket, call.retry_share)

    def _bucket(self) -> int:
        return sliding_sum.bucket_at(
            self._clock.monotonic_s(), self._slack.bounds.window_s
        )
