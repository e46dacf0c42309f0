"""The budget of retries: a share of the calls."""

_MOST_SAVED_RETRIES = 10.0
_PERMILLE = 1000


class RetryBudget:
    """Each call earns a part of a retry; each retry spends a whole one.

    The bucket is filled by calls and not by time, so that a quiet service
    cannot save up a storm of retries.
    """

    def __init__(self):
        self._saved: dict[str, float] = {}

    def record_first_attempt(self, service: str, budget_permille: int) -> None:
        """Counts a first attempt."""
        saved = self._saved.get(service, _MOST_SAVED_RETRIES)
        earned = saved + budget_permille / _PERMILLE
        self._saved[service] = min(_MOST_SAVED_RETRIES, earned)

    def try_spend(self, service: str) -> bool:
        """Takes one retry; returns False when the budget is used up."""
        saved = self._saved.get(service, _MOST_SAVED_RETRIES)
        if saved < 1:
            return False
        self._saved[service] = saved - 1
        return True
