"""What the bound on a tenant's requests leaves for its tokens."""

import typing

from galenatack.model import tenant as tenant_model
from galenatack.settings import fleet_bounds

_MS_PER_S = 1000

RATE_PART = 0.3
CAPACITY_PART = 0.3
"""Parts of the allowed overshoot by which tokens may exceed the rate, and by
which more of them may be held at once. The rest is left for requests that get
their tokens in one window and run in the next one, as they wait for a slot."""

SLACK_PART = 0.5
"""Part of the allowed slack that is held as tokens, for the same reason."""


class QuotaTerms(typing.NamedTuple):
    """Tokens of a tenant on all nodes together.

    In a window at most `capacity` and the refill of the window are used.

    Attributes:
        rate_per_s: Tokens per second.
        capacity: Tokens that may be held at once.
    """

    rate_per_s: float
    capacity: float

    def scaled(self, share: float) -> "QuotaTerms":
        """Returns the terms for a share of the quota."""
        return QuotaTerms(self.rate_per_s * share, self.capacity * share)


def of(
    tenant: tenant_model.Tenant, bounds: fleet_bounds.FleetBounds
) -> QuotaTerms | None:
    """Returns the terms of a tenant; None if it has no limit."""
    if not tenant.rate_per_s:
        return None
    window_s = bounds.quota_window_ms / _MS_PER_S
    overshoot = bounds.quota_overshoot
    return QuotaTerms(
        rate_per_s=tenant.rate_per_s * (1 + RATE_PART * overshoot),
        capacity=(
            tenant.burst
            + CAPACITY_PART * overshoot * tenant.rate_per_s * window_s
            + SLACK_PART * bounds.quota_slack
        ),
    )
