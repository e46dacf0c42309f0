"""Parts of a mesh node around its own target."""

import typing

from galenatack.admission import admission_queue
from galenatack.admission import retried_runs
from galenatack.admission import retry_slack
from galenatack.admission import service_times
from galenatack.admission import stall_detector
from galenatack.admission import target_calls
from galenatack.admission import target_gate
from galenatack.admission import target_registry
from galenatack.app import mesh_base
from galenatack.app import mesh_quarantine
from galenatack.app import mesh_rollouts
from galenatack.app import mesh_warmup
from galenatack.bodies import body_fetcher
from galenatack.estimates import gate_work
from galenatack.links import translated_target
from galenatack.platform import target_headers
from galenatack.quarantine import crash_detector
from galenatack.traffic import call_message_handler

MS_PER_S = 1000

DRAIN_ADMISSION_SHARE = 0.4
"""Fraction of the drain time in which a draining target still accepts calls. In
the rest, queued calls are refused so that they can go to other targets."""

TARGET_CONNECTIONS = 100
"""Below the minimum connection limit that a deployment sets for a target. The
gate's slots keep the actual number far lower."""


class MeshInbound(typing.NamedTuple):
    """Parts around the own target."""

    registry: target_registry.TargetRegistry
    target: translated_target.TranslatedTarget
    gate: target_gate.TargetGate
    runs: retried_runs.RetriedRuns
    slack: retry_slack.RetrySlack
    bodies: body_fetcher.BodyFetcher
    warmup: mesh_warmup.MeshWarmup
    work: gate_work.GateWork


def make(
    base: mesh_base.MeshBase,
    rollouts: mesh_rollouts.MeshRollouts,
    quarantine: mesh_quarantine.MeshQuarantine,
) -> MeshInbound:
    """Makes the parts around the own target."""
    registry = target_registry.TargetRegistry(
        service=base.settings.service,
        clock=base.clock,
        drain_notice_s=base.settings.bounds.drain_ms
        * DRAIN_ADMISSION_SHARE
        / MS_PER_S,
        on_changed=base.callbacks.on_target_changed,
    )
    target = translated_target.TranslatedTarget(
        address=base.settings.target_address,
        dialect=target_headers.TargetHeaders(),
        max_connections=TARGET_CONNECTIONS,
        on_condition=base.callbacks.on_target_condition,
        on_cold_ms=base.callbacks.on_target_cold_ms,
    )
    warmup = mesh_warmup.make(base, registry, target)
    own = base.members.own
    times = service_times.ServiceTimes()
    slack = retry_slack.RetrySlack(
        clock=base.clock, bounds=base.settings.bounds.retries
    )
    bodies = body_fetcher.BodyFetcher(peers=base.peers, clock=base.clock)
    runs = retried_runs.RetriedRuns(clock=base.clock, slack=slack)
    work = gate_work.GateWork(clock=base.clock)
    gate = target_gate.TargetGate(
        registry=registry,
        queue=admission_queue.AdmissionQueue(
            clock=base.clock,
            rng=base.rng,
            times=times,
            stall=stall_detector.StallDetector(clock=base.clock),
        ),
        times=times,
        calls=target_calls.TargetCalls(
            registry=registry,
            link=target,
            clock=base.clock,
            quarantine=quarantine.quarantine,
            crashes=crash_detector.CrashDetector(
                name=f"{own.node_id}/{own.boot_ms}",
                reports=quarantine.reports,
                is_reachable=target.is_reachable,
            ),
        ),
        clock=base.clock,
        log=base.log,
        stats=base.stats,
        is_withdrawn=rollouts.registry.is_withdrawn,
        on_outcome=rollouts.pool.record,
        quarantine=quarantine.quarantine,
        runs=runs,
        bodies=bodies,
        work=work,
        cold=warmup.cold,
        is_evacuated=lambda: base.evacuations.has_evacuated(
            base.settings.data_centre
        ),
    )
    call_message_handler.CallMessageHandler(peers=base.peers, gate=gate)
    return MeshInbound(
        registry, target, gate, runs, slack, bodies, warmup, work
    )
