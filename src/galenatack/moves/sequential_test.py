"""Sequential test of the new version against the old one.

The result may be evaluated after each window without raising the error rate.
"""

import math

from galenatack.moves import comparison

ODDS_RATIOS = (2.0, 5.0, 25.0)
FIRST_WINDOW_WEIGHT = 0.5
_FLOOR_LOG = -60.0


class _Component:
    """Evidence for one odds ratio, over all possible starts of the fault."""

    def __init__(self):
        self.log_value = -math.inf
        self.new_calls = 0.0
        self.new_events = 0.0

    def update(
        self, log_ratio: float, log_weight: float, calls: int, events: int
    ) -> None:
        """Multiplies the evidence by one window's likelihood ratio."""
        log_sum = _log_add(self.log_value, log_weight)
        retained = math.exp(self.log_value - log_sum)
        self.new_calls = retained * self.new_calls + calls
        self.new_events = retained * self.new_events + events
        self.log_value = max(_FLOOR_LOG, log_sum + log_ratio)


class SequentialTest:
    """A test martingale, mixed over odds ratios and starts of the fault.

    The expected value is at most 1 while the new version is no worse than the
    old one. By Ville's inequality the probability that it ever exceeds 1/alpha
    is therefore at most alpha, however often it is evaluated. Two tests are
    averaged:

    - *same period*: given all events of a window, the number of those on the
      new version is hypergeometric, whatever the common rate. Its generating
      function is bounded by both binomial ones (Hoeffding), which gives a
      cheap normaliser. Incidents that affect both versions cancel out.
    - *against the null rate*: at high shares few calls of the old version
      remain, and the same-period test gains little from each event.

    Args:
        horizon_windows: Duration of the move in windows; the prior weight of
            a later start is spread over them.
    """

    def __init__(self, *, horizon_windows: int):
        self._windows = 0
        late = (1.0 - FIRST_WINDOW_WEIGHT) / max(1, horizon_windows)
        self._late_log_weight = math.log(late)
        self._same = tuple(_Component() for _ in ODDS_RATIOS)
        self._null = tuple(_Component() for _ in ODDS_RATIOS)

    def update(self, parts: tuple[comparison.Comparison, ...]) -> None:
        """Adds one window; `parts` are its independent strata."""
        calls = sum(part.new_calls for part in parts)
        if not calls:
            return
        events = sum(part.new_events for part in parts)
        log_weight = self._late_log_weight
        if not self._windows:
            log_weight = math.log(FIRST_WINDOW_WEIGHT)
        self._windows += 1
        for number, odds in enumerate(ODDS_RATIOS):
            same = sum(same_period_log_ratio(part, odds) for part in parts)
            null = sum(null_rate_log_ratio(part, odds) for part in parts)
            self._same[number].update(same, log_weight, calls, events)
            self._null[number].update(null, log_weight, calls, events)

    def log_value(self) -> float:
        """Returns the log evidence against the new version (natural log)."""
        components = self._same + self._null
        total = -math.inf
        for component in components:
            total = _log_add(total, component.log_value)
        return total - math.log(len(components))

    def recent_rate(self) -> float:
        """Returns the new version's event rate since the likely start."""
        likeliest = max(
            self._same + self._null, key=lambda part: part.log_value
        )
        return (
            likeliest.new_events / likeliest.new_calls
            if likeliest.new_calls
            else 0.0
        )


def same_period_log_ratio(part: comparison.Comparison, odds: float) -> float:
    """Returns the log likelihood ratio given all events of the window."""
    total = part.new_calls + part.old_calls
    events = part.new_events + part.old_events
    if not part.new_calls or not part.old_calls or not events:
        return 0.0
    by_event = events * math.log1p(part.new_calls / total * (odds - 1.0))
    by_call = part.new_calls * math.log1p(events / total * (odds - 1.0))
    return part.new_events * math.log(odds) - min(by_event, by_call)


def null_rate_log_ratio(part: comparison.Comparison, odds: float) -> float:
    """Returns the log likelihood ratio against the null rate."""
    if part.null_rate >= 1.0 or not part.new_calls:
        return 0.0
    normaliser = math.log1p(part.null_rate * (odds - 1.0))
    return part.new_events * math.log(odds) - part.new_calls * normaliser


def _log_add(left: float, right: float) -> float:
    high, low = max(left, right), min(left, right)
    if low == -math.inf:
        return high
    return high + math.log1p(math.exp(low - high))
