"""Chooses the version of a service for a call."""

import collections.abc

from galenatack.interfaces import clock as clock_interface
from galenatack.model import rollout_phase
from galenatack.rollouts import rollout_registry
from galenatack.rollouts import trial_share

UNKNOWN_VERSION_DELAY_S = 3.0
"""A new version without an order gets no calls for this time while there are
others, because its order may not have arrived yet. Changes arrive within this
bound."""


class VersionChooser:
    """Chooses versions by orders, progress and withdrawals.

    Args:
        registry: Orders and progress.
        share: Limits the calls of versions on trial.
        clock: Source of time.
    """

    def __init__(
        self,
        *,
        registry: rollout_registry.RolloutRegistry,
        share: trial_share.TrialShare,
        clock: clock_interface.Clock,
    ):
        self._registry = registry
        self._share = share
        self._clock = clock
        self._first_seen_s: dict[str, dict[str, float]] = {}

    def choose(
        self,
        service: str,
        versions: collections.abc.Collection[str],
        *,
        is_retry: bool,
    ) -> tuple[str, ...]:
        """Returns the versions that the call may be sent to.

        Args:
            service: Service of the call.
            versions: Versions with targets.
            is_retry: Whether the call is a retry; retries are not sent to a
                version on trial.
        """
        allowed = [
            version
            for version in versions
            if not self._registry.is_withdrawn(service, version)
        ]
        if len(allowed) <= 1:
            return tuple(allowed)
        order = self._registry.active_order(service)
        if order is None or order.version not in allowed:
            return self._without_order(service, allowed)
        others = tuple(v for v in allowed if v != order.version)
        phase = self._registry.phase(order)
        if is_retry and phase == rollout_phase.RolloutPhase.TRIAL:
            return others
        if self._share.admits(order.revision, phase):
            return (order.version,)
        return others

    def _without_order(
        self, service: str, allowed: list[str]
    ) -> tuple[str, ...]:
        settled = self._registry.settled_version(service)
        if settled in allowed:
            return (settled,)
        established = [
            v for v in allowed if self._is_established(service, v, allowed)
        ]
        return tuple(established or allowed)

    def _is_established(
        self, service: str, version: str, versions: list[str]
    ) -> bool:
        now_s = self._clock.monotonic_s()
        first_seen_s = self._first_seen_s.setdefault(service, {})
        if not first_seen_s:
            # Versions found at the first call existed before this node started.
            first_seen_s.update(
                dict.fromkeys(versions, now_s - UNKNOWN_VERSION_DELAY_S)
            )
        since_s = first_seen_s.setdefault(version, now_s)
        return now_s - since_s >= UNKNOWN_VERSION_DELAY_S
