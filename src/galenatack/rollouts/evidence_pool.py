"""Collects the outcomes of all gates of services with an active order."""

import logging

from galenatack import exceptions
from galenatack.interfaces import peer_network
from galenatack.membership import member_table
from galenatack.membership import node_roles
from galenatack.messages import trial_evidence
from galenatack.model import member_status
from galenatack.model import rollout_order
from galenatack.model import route_evidence
from galenatack.moves import evidence_counter
from galenatack.rollouts import rollout_registry

EVALUATOR_COUNT = 3
"""Number of nodes that receive the evidence: one decides, two are standbys."""

_LOGGER = logging.getLogger(__name__)

_Report = trial_evidence.TrialEvidence


class EvidencePool:
    """Counts and sends the local gate's outcomes and stores those of others.

    Args:
        members: Members of the fleet.
        peers: Links to other nodes.
        registry: Orders and progress.
    """

    def __init__(
        self,
        *,
        members: member_table.MemberTable,
        peers: peer_network.PeerNetwork,
        registry: rollout_registry.RolloutRegistry,
    ):
        self._members = members
        self._peers = peers
        self._registry = registry
        self._own: tuple[int, evidence_counter.EvidenceCounter] | None = None
        self._reports: dict[tuple[int, str], _Report] = {}
        peers.on(_Report, self._receive)

    def record(
        self, route: str, is_error: bool, latency_ms: float, is_warm: bool
    ) -> None:
        """Counts one call of the local target."""
        own = self._members.own
        order = self._registry.active_order(own.service)
        if order is None:
            return
        if self._own is None or self._own[0] != order.revision:
            self._own = (order.revision, evidence_counter.EvidenceCounter())
        self._own[1].record(
            route,
            own.version,
            is_error=is_error,
            latency_ms=latency_ms,
            is_warm=is_warm,
        )

    def evaluators(self, order: rollout_order.RolloutOrder) -> list[str]:
        """Returns the nodes that evaluate an order; the first one decides."""
        candidates = [
            record.node_id
            for record in self._members.live()
            if record.status == member_status.MemberStatus.SERVING
        ]
        salt = f"rollout/{order.service}/{order.revision}"
        return node_roles.rank(candidates, salt)[:EVALUATOR_COUNT]

    async def send(self) -> None:
        """Sends the local gate's outcomes to the evaluators."""
        own = self._members.own
        order = self._registry.active_order(own.service)
        if order is None or self._own is None:
            return
        revision, counts = self._own
        if revision != order.revision:
            return
        report = _Report(
            own.service, revision, own.node_id, own.boot_ms, counts.report()
        )
        self._store(report)
        for node_id in self.evaluators(order):
            if node_id != own.node_id:
                await self._send(node_id, report)

    def evidence(
        self, order: rollout_order.RolloutOrder
    ) -> dict[str, tuple[route_evidence.RouteEvidence, ...]]:
        """Returns the outcomes of each gate for an order."""
        return {report.node_id: report.routes for report in self.reports(order)}

    def reports(self, order: rollout_order.RolloutOrder) -> list[_Report]:
        """Returns the latest report of each gate for an order."""
        return [
            report
            for (revision, _), report in self._reports.items()
            if revision == order.revision
        ]

    def retain_only(self, order_revisions: set[int]) -> None:
        """Removes the evidence of all other orders."""
        for key in [k for k in self._reports if k[0] not in order_revisions]:
            del self._reports[key]

    async def _send(self, node_id: str, report: _Report) -> None:
        try:
            await self._peers.send(node_id, report)
        except exceptions.PeerError as error:
            # The counts are cumulative, so the next report includes them.
            _LOGGER.debug(
                "event=evidence-not-sent peer=%s error=%s", node_id, error
            )

    async def _receive(self, sender: str, report: _Report) -> None:
        del sender
        self._store(report)

    def _store(self, report: _Report) -> None:
        self._reports[report.order_revision, report.node_id] = report
