"""Chooses the version of a service that takes a call."""

import collections.abc

from galenatack.interfaces import clock as clock_interface
from galenatack.model import rollout_phase
from galenatack.rollouts import rollout_registry
from galenatack.rollouts import trial_share

STRANGER_S = 3.0
"""A version that shows up beside others without an order waits this long: the
order may still be on its way. It is the bound for a change to arrive."""


class VersionChooser:
    """Applies orders, progress and withdrawals to the versions present.

    Args:
        registry: Orders and progress.
        share: Share of versions on trial.
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
        self._seen_s: dict[str, dict[str, float]] = {}

    def choose(
        self,
        service: str,
        versions: collections.abc.Collection[str],
        *,
        is_repeat: bool,
    ) -> tuple[str, ...]:
        """Returns the versions that may take the call.

        Args:
            service: Service of the call.
            versions: Versions with targets.
            is_repeat: A repeated call is not used for a trial.
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
        if is_repeat and phase == rollout_phase.RolloutPhase.TRIAL:
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
        known = [v for v in allowed if self._is_known(service, v, allowed)]
        return tuple(known or allowed)

    def _is_known(
        self, service: str, version: str, versions: list[str]
    ) -> bool:
        now_s = self._clock.monotonic_s()
        seen = self._seen_s.setdefault(service, {})
        if not seen:
            # Whatever is there at first was there before this node.
            seen.update(dict.fromkeys(versions, now_s - STRANGER_S))
        first_s = seen.setdefault(version, now_s)
        return now_s - first_s >= STRANGER_S
