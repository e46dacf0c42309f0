"""Retry budget as a share of the calls."""

_MAX_SAVED_RETRIES = 10.0
_PERMILLE = 1000


class RetryBudget:
    """Token bucket for each service: calls add tokens, retries spend them.

    The bucket is filled by calls and not by time, which keeps a quiet service
    from saving up a burst of retries.
    """

    def __init__(self):
        self._saved: dict[str, float] = {}

    def record_first_attempt(self, service: str, budget_permille: int) -> None:
        """Counts a first attempt."""
        saved = self._saved.get(service, _MAX_SAVED_RETRIES)
        earned = saved + budget_permille / _PERMILLE
        self._saved[service] = min(_MAX_SAVED_RETRIES, earned)

    def try_spend(self, service: str) -> bool:
        """Spends one retry; returns False if the budget is used up."""
        saved = self._saved.get(service, _MAX_SAVED_RETRIES)
        if saved < 1:
            return False
        self._saved[service] = saved - 1
        return True
