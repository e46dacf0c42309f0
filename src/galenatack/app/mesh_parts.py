"""The wired parts of a node that runs on a shared platform."""

import typing

from galenatack.admission import retry_slack
from galenatack.admission import target_gate
from galenatack.admission import target_registry
from galenatack.app import mesh_tenants
from galenatack.app import mesh_warmup
from galenatack.bodies import body_fetcher
from galenatack.clients import client_account
from galenatack.config import instrumented_table
from galenatack.config import row_mirror
from galenatack.config import store_follower_election
from galenatack.config import table_watcher
from galenatack.estimates import call_estimates
from galenatack.estimates import gate_work
from galenatack.homes import evacuations
from galenatack.interfaces import clock as clock_interface
from galenatack.links import peer_network
from galenatack.links import pipelined_server
from galenatack.links import translated_target
from galenatack.membership import discovery
from galenatack.membership import member_table
from galenatack.membership import membership_service
from galenatack.moves import withdrawals
from galenatack.placement import target_placement
from galenatack.quarantine import crash_archive
from galenatack.quarantine import crash_ledger
from galenatack.rollouts import rollout_driver
from galenatack.rollouts import rollout_registry
from galenatack.settings import mesh_settings
from galenatack.telemetry import call_stats
from galenatack.telemetry import request_log
from galenatack.timeline import recorder
from galenatack.traffic import attempt_budget
from galenatack.traffic import call_router
from galenatack.traffic import config_holder
from galenatack.traffic import link_warmer
from galenatack.traffic import shutdown_admission


class MeshParts(typing.NamedTuple):
    """Parts that the application object runs."""

    settings: mesh_settings.MeshSettings
    clock: clock_interface.Clock
    events: recorder.Recorder
    members: member_table.MemberTable
    membership: membership_service.MembershipService
    peers: peer_network.WebsocketPeers
    discovery: discovery.Discovery
    mirror: row_mirror.RowMirror
    watchers: tuple[table_watcher.TableWatcher, ...]
    election: store_follower_election.StoreFollowerElection
    config: config_holder.ConfigHolder
    rollouts: rollout_registry.RolloutRegistry
    withdrawn: withdrawals.Withdrawals
    crashes: crash_ledger.CrashLedger
    crash_archive: crash_archive.CrashArchive
    driver: rollout_driver.RolloutDriver
    registry: target_registry.TargetRegistry
    gate: target_gate.TargetGate
    bodies: body_fetcher.BodyFetcher
    router: call_router.CallRouter
    budget: attempt_budget.AttemptBudget
    slack: retry_slack.RetrySlack
    shutdown: shutdown_admission.ShutdownAdmission
    placement: target_placement.TargetPlacement
    warmer: link_warmer.LinkWarmer
    account: client_account.ClientAccount
    log: request_log.RequestLog
    stats: call_stats.CallStats
    callers: pipelined_server.PipelinedServer
    control: pipelined_server.PipelinedServer
    ready: pipelined_server.PipelinedServer
    target: translated_target.TranslatedTarget
    store: instrumented_table.InstrumentedTable
    warmup: mesh_warmup.MeshWarmup
    evacuations: evacuations.Evacuations
    tenants: mesh_tenants.MeshTenants
    estimates: call_estimates.CallEstimates
    work: gate_work.GateWork
