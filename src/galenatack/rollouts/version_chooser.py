"""Chooses the version of a service for a call."""

import collections.abc

from galenatack import exceptions
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


ONLY_TRIAL_RETRY_AFTER_MS = 2500
"""The next burst of a trial begins within this time."""

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
        everywhere: _Targets | None = None,
    ) -> tuple[list[_Record], ...]:
        """Returns groups of targets; a later one is used if no other has room.

        Args:
            service: Service of the call.
            targets: Permitted targets by version.
            is_retry: Whether it is a retry, which no version on trial gets.
            everywhere: All targets by version; None if all are permitted.

        Raises:
            exceptions.NoPermittedTargetError: Only a version on trial is
                permitted, and has had its share.
        """
        everywhere = targets if everywhere is None else everywhere
        allowed = self._not_withdrawn(service, targets)
        existing = self._not_withdrawn(service, everywhere)
        if not allowed or len(existing) <= 1:
            return (_members(targets, allowed),)
        order = self._registry.active_order(service)
        if order is None or order.version not in allowed:
            versions = self._without_order(service, allowed, existing)
            return (_members(targets, versions),)
        new = list(targets[order.version])
        others = _members(targets, _except(order, allowed))
        phase = self._registry.phase(order)
        if phase == rollout_phase.RolloutPhase.TRIAL:
            old = others or _members(everywhere, _except(order, existing))
            return self._on_trial(
                order, new, others, old_targets=len(old), is_retry=is_retry
            )
        if others and not self._share.admits(order.revision, phase, None):
            return (others,)
        return (new,)

    def _not_withdrawn(self, service: str, targets: _Targets) -> list[str]:
        return [
            version
            for version in targets
            if not self._registry.is_withdrawn(service, version)
        ]

    def _on_trial(
        self,
        order: rollout_order.RolloutOrder,
        new: list[_Record],
        others: list[_Record],
        *,
        old_targets: int,
        is_retry: bool,
    ) -> tuple[list[_Record], ...]:
        if is_retry:
            return (_old(order, others),)
        burst = trial_bursts.burst_at(
            self._registry.age_s(order),
            share=self._share.trial_share,
            old_targets=old_targets,
        )
        phase = rollout_phase.RolloutPhase.TRIAL
        if not self._share.admits(order.revision, phase, burst):
            return (_old(order, others),)
        chosen = trial_bursts.targets_of(
            burst, new, order_revision=order.revision
        )
        return (chosen, others) if others else (chosen,)

    def _without_order(
        self, service: str, allowed: list[str], existing: list[str]
    ) -> tuple[str, ...]:
        settled = self._registry.settled_version(service)
        if settled in allowed:
            return (settled,)
        # Where a call may run does not tell how long a version has existed.
        established = [
            v for v in existing if self._is_established(service, v, existing)
        ]
        return tuple([v for v in allowed if v in established] or allowed)

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


def _old(
    order: rollout_order.RolloutOrder, others: list[_Record]
) -> list[_Record]:
    """Returns the targets for a call that the version on trial does not get."""
    if others:
        return others
    raise exceptions.NoPermittedTargetError(
        f"only {order.version} of {order.service} is permitted, which is on"
        " trial and has had its share",
        retry_after_ms=ONLY_TRIAL_RETRY_AFTER_MS,
    )


def _except(
    order: rollout_order.RolloutOrder, versions: list[str]
) -> list[str]:
    return [version for version in versions if version != order.version]


def _members(
    targets: _Targets, versions: collections.abc.Iterable[str]
) -> list[_Record]:
    return [record for version in versions for record in targets[version]]
