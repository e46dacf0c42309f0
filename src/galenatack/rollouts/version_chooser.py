"""Chooses the version of a service for a call."""

import collections.abc

from galenatack.interfaces import clock as clock_interface
from galenatack.model import member_record
from galenatack.model import rollout_order
from galenatack.model import rollout_phase
from galenatack.rollouts import rollout_registry
from galenatack.rollouts import trial_bursts
from galenatack.rollouts import trial_share

UNKNOWN_VERSION_DELAY_S = 3.0
"""A new version without an order gets no calls for this time while there are
others, because its order may not have arrived yet. Changes arrive within this
bound."""


_Record = member_record.MemberRecord
_Targets = collections.abc.Mapping[str, collections.abc.Sequence[_Record]]


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
        targets: _Targets,
        *,
        is_retry: bool,
    ) -> tuple[list[_Record], ...]:
        """Returns the targets that the call may be sent to.

        Args:
            service: Service of the call.
            targets: Targets of the service by version.
            is_retry: Whether the call is a retry; retries are not sent to a
                version on trial.

        Returns:
            Groups of targets; a later one is used if no target of those before
            it has room. Not empty.
        """
        allowed = [
            version
            for version in targets
            if not self._registry.is_withdrawn(service, version)
        ]
        order = self._registry.active_order(service)
        if len(allowed) <= 1:
            return (_members(targets, allowed),)
        if order is None or order.version not in allowed:
            versions = self._without_order(service, allowed)
            return (_members(targets, versions),)
        others = _members(targets, [v for v in allowed if v != order.version])
        new = list(targets[order.version])
        phase = self._registry.phase(order)
        if phase == rollout_phase.RolloutPhase.TRIAL:
            return self._on_trial(order, new, others, is_retry=is_retry)
        if self._share.admits(order.revision, phase, None):
            return (new,)
        return (others,)

    def _on_trial(
        self,
        order: rollout_order.RolloutOrder,
        new: list[_Record],
        others: list[_Record],
        *,
        is_retry: bool,
    ) -> tuple[list[_Record], ...]:
        if is_retry:
            return (others,)
        burst = trial_bursts.burst_at(
            self._registry.age_s(order),
            share=self._share.trial_share,
            old_targets=len(others),
        )
        phase = rollout_phase.RolloutPhase.TRIAL
        if not self._share.admits(order.revision, phase, burst):
            return (others,)
        chosen = trial_bursts.targets_of(
            burst, new, order_revision=order.revision
        )
        return (chosen, others)

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


def _members(
    targets: _Targets, versions: collections.abc.Iterable[str]
) -> list[_Record]:
    return [record for version in versions for record in targets[version]]
