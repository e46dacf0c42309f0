"""Limits that a deployment sets for all nodes."""

import typing

from galenatack.model import retry_bounds

_MS_PER_S = 1000


class FleetBounds(typing.NamedTuple):
    """Limits that a deployment sets for all nodes.

    Attributes:
        drain_ms: Time from the acknowledgement of a target's announcement
            that it drains, after which it receives no more calls.
        grace_ms: Time between SIGTERM and SIGKILL.
        config_ms: Time limit for putting a configuration in force.
        repeat_window_ms: Window of the retry budget.
        repeat_ratio: Retries of a service as a share of its requests.
        repeat_slack: Retries of a service per window beyond the ratio.
        trial_share: Maximum share of calls that a faulty version may get.
        evacuation_ms: Time limit for ending all calls to the targets of an
            evacuated data centre.
        revoke_ms: Time limit for refusing a key that was taken away; 0 without
            one.
        is_revoking_strict: True if that limit also binds nodes without a way to
            the store.
        quota_window_ms: Window of the tenants' quotas.
        quota_overshoot: Share beyond a quota that all nodes may let through.
        quota_slack: Requests of a tenant per window beyond that.
        cold_overshoot: Factor on the rate of a cold target up to which all
            nodes may exceed it.
        cold_slack: Requests per second to a cold target beyond that.
        uses_estimates: Whether targets may be chosen by estimates of what
            requests cost; False to count calls only.
    """

    drain_ms: int = 2500
    grace_ms: int = 6000
    config_ms: int = 2500
    repeat_window_ms: int = 10_000
    repeat_slack: int = 50
    trial_share: float = 0.1
    repeat_ratio: float = 0.2
    evacuation_ms: int = 5000
    revoke_ms: int = 0
    is_revoking_strict: bool = False
    quota_window_ms: int = 5000
    quota_overshoot: float = 0.1
    quota_slack: int = 20
    cold_overshoot: float = 1.5
    cold_slack: int = 8
    uses_estimates: bool = True

    @property
    def retries(self) -> retry_bounds.RetryBounds:
        """The bound on retries."""
        return retry_bounds.RetryBounds(
            window_s=self.repeat_window_ms / _MS_PER_S,
            ratio=self.repeat_ratio,
            slack=self.repeat_slack,
        )
