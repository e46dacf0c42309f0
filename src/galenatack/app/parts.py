"""The wired parts of a node."""

import collections.abc
import typing

from galenatack.app import startup_handler
from galenatack.config import acceptor
from galenatack.config import log_state
from galenatack.config import propagation
from galenatack.config import reader
from galenatack.config import state_rebuild
from galenatack.interfaces import clock
from galenatack.interfaces import closable
from galenatack.interfaces import closable_target
from galenatack.interfaces import table
from galenatack.links import caller_app
from galenatack.links import fault_injector
from galenatack.links import peer_network
from galenatack.links import tls
from galenatack.membership import member_table
from galenatack.membership import membership_service
from galenatack.moves import move_runner
from galenatack.moves import move_service
from galenatack.moves import withdrawals
from galenatack.postings import claim_cleanup
from galenatack.postings import posting_guard
from galenatack.routing import inbound_gate
from galenatack.routing import snapshot_holder
from galenatack.routing import snapshot_updater
from galenatack.routing import target_histogram
from galenatack.settings import node_settings
from galenatack.timeline import recorder

TaskFunction = collections.abc.Callable[[], collections.abc.Awaitable[None]]


class Parts(typing.NamedTuple):
    """The wired parts of a node; `wiring.wire` makes them."""

    settings: node_settings.NodeSettings
    clock: clock.Clock
    events: recorder.Recorder
    members: member_table.MemberTable
    peers: peer_network.WebsocketPeers
    peer_tls: tls.PeerTls
    faults: fault_injector.FaultInjector
    membership: membership_service.MembershipService
    platform: closable.Closable
    table: table.Table
    state: log_state.LogState
    propagation: propagation.Propagation
    reader: reader.PlatformReader
    rebuild: state_rebuild.StateRebuild
    acceptor: acceptor.Acceptor
    moves: move_service.MoveService
    move_runner: move_runner.MoveRunner
    withdrawals: withdrawals.Withdrawals
    holder: snapshot_holder.SnapshotHolder
    updater: snapshot_updater.SnapshotUpdater
    target: closable_target.ClosableTarget
    gate: inbound_gate.InboundGate
    outcomes: target_histogram.TargetHistogram
    guard: posting_guard.PostingGuard
    claim_cleanup: claim_cleanup.ClaimCleanup
    handler: startup_handler.StartupHandler
    caller_app: caller_app.CallerApp

    def background_tasks(self) -> tuple[tuple[str, TaskFunction], ...]:
        """Returns the names and functions of the background tasks."""
        return (
            ("membership", self.membership.run),
            ("propagation", self.propagation.run),
            ("reader", self.reader.run),
            ("snapshot", self.updater.run),
            ("moves", self.move_runner.run),
            ("postings", self.guard.run),
            ("claim-cleanup", self.claim_cleanup.run),
        )
