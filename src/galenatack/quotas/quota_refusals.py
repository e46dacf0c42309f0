"""Refusals of requests beyond the quotas of their tenants."""

import collections
import logging

from galenatack import exceptions
from galenatack.interfaces import clock as clock_interface
from galenatack.interfaces import random_source
from galenatack.quotas import quota_book
from galenatack.quotas import quota_client

MIN_RETRY_S = 0.5
MAX_RETRY_S = 10.0
RETRY_SPREAD = (0.5, 1.5)
"""Bounds of the time until a refused request may come again, and the factors
between which it is spread."""

REPORT_S = 10.0
"""A tenant beyond its quota is logged this often at most."""

_MS_PER_S = 1000
_LOGGER = logging.getLogger(__name__)


class QuotaRefusals:
    """Counts and logs refusals, and spreads the times of the next attempts.

    Args:
        clock: Source of time.
        rng: Spread of the times.
        client: Knows the demand.

    Attributes:
        refused: Number of refused requests by tenant.
    """

    def __init__(
        self,
        *,
        clock: clock_interface.Clock,
        rng: random_source.RandomSource,
        client: quota_client.QuotaClient,
    ):
        self._clock = clock
        self._rng = rng
        self._client = client
        self._reported_s: dict[str, float] = {}
        self.refused: collections.Counter[str] = collections.Counter()

    def make(self, tenant: str) -> exceptions.QuotaExceededError:
        """Returns the refusal of a request."""
        self._report(tenant)
        return exceptions.QuotaExceededError(
            "the quota of the tenant is used up",
            retry_after_ms=self._retry_after_ms(tenant),
        )

    def _retry_after_ms(self, tenant: str) -> int:
        wait_s = max(MIN_RETRY_S, self._client.pressure(tenant))
        spread = self._rng.uniform(*RETRY_SPREAD)
        return int(min(MAX_RETRY_S, wait_s) * spread * _MS_PER_S)

    def _report(self, tenant: str) -> None:
        self.refused[tenant] += 1
        now_s = self._clock.monotonic_s()
        if now_s - self._reported_s.get(tenant, -REPORT_S) < REPORT_S:
            return
        self._reported_s[tenant] = now_s
        _LOGGER.info(
            "event=quota-exceeded tenant=%s pressure=%.2f refused=%d"
            " own_share=%s next=raise-rate-or-ask-tenant",
            tenant,
            self._client.pressure(tenant),
            self.refused[tenant],
            self._client.uses_own_share(quota_book.group_of(tenant)),
        )
