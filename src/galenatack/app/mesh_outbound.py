"""Parts of a mesh node between callers and targets."""

import typing

from galenatack.app import mesh_base
from galenatack.app import mesh_inbound
from galenatack.app import mesh_quarantine
from galenatack.app import mesh_rollouts
from galenatack.app import mesh_tenants
from galenatack.bodies import announced_bodies
from galenatack.clients import abandoned_calls
from galenatack.estimates import call_estimates
from galenatack.homes import permitted_targets
from galenatack.placement import known_conditions
from galenatack.placement import target_placement
from galenatack.tenants import tenant_admission
from galenatack.traffic import attempt_budget
from galenatack.traffic import call_router
from galenatack.traffic import call_sender
from galenatack.traffic import call_telemetry
from galenatack.traffic import config_holder
from galenatack.traffic import returned_requests
from galenatack.traffic import shutdown_admission
from galenatack.traffic import target_directory


class MeshOutbound(typing.NamedTuple):
    """Parts between callers and targets."""

    config: config_holder.ConfigHolder
    budget: attempt_budget.AttemptBudget
    placement: target_placement.TargetPlacement
    shutdown: shutdown_admission.ShutdownAdmission
    tenants: tenant_admission.TenantAdmission
    router: call_router.CallRouter
    estimates: call_estimates.CallEstimates


def make(
    base: mesh_base.MeshBase,
    directory: target_directory.TargetDirectory,
    rollouts: mesh_rollouts.MeshRollouts,
    quarantine: mesh_quarantine.MeshQuarantine,
    inbound: mesh_inbound.MeshInbound,
    tenant_parts: mesh_tenants.MeshTenants,
) -> MeshOutbound:
    """Makes the parts between callers and targets."""
    config = config_holder.ConfigHolder()
    budget = attempt_budget.AttemptBudget(clock=base.clock, slack=inbound.slack)
    conditions = known_conditions.KnownConditions()
    estimates = call_estimates.CallEstimates(
        is_enabled=base.settings.bounds.uses_estimates
    )
    placement = target_placement.TargetPlacement(
        own=base.members.own,
        clock=base.clock,
        rng=base.rng,
        is_connected=base.peers.is_connected,
        conditions=conditions,
        predictor=estimates,
    )
    shutdown = shutdown_admission.ShutdownAdmission(clock=base.clock)
    tenants = tenant_admission.TenantAdmission(
        in_force=lambda: config.tenants,
        freshness=tenant_parts.freshness,
        quotas=tenant_parts.quotas,
        expects_keys=base.settings.bounds.revoke_ms > 0,
    )
    router = call_router.CallRouter(
        config=config,
        targets=permitted_targets.PermittedTargets(
            directory=directory, evacuations=base.evacuations
        ),
        versions=rollouts.versions,
        placement=placement,
        budget=budget,
        runs=inbound.runs,
        sender=call_sender.CallSender(
            own=base.members.own,
            peers=base.peers,
            gate=inbound.gate,
            conditions=conditions,
            bodies=announced_bodies.AnnouncedBodies(peers=base.peers),
            clock=base.clock,
            rng=base.rng,
            cold_rate_per_s=config.cold_rate_per_s,
            abandoned=abandoned_calls.AbandonedCalls(account=base.account),
        ),
        returned=returned_requests.ReturnedRequests(clock=base.clock),
        conditions=conditions,
        quarantine=quarantine.quarantine,
        shutdown=shutdown,
        tenants=tenants,
        clock=base.clock,
        telemetry=call_telemetry.CallTelemetry(
            config=config,
            placement=placement,
            budget=budget,
            clock=base.clock,
            log=base.log,
            stats=base.stats,
        ),
        estimates=estimates,
    )
    return MeshOutbound(
        config, budget, placement, shutdown, tenants, router, estimates
    )
