"""Sends the reports of one gate to the nodes of its service."""

import collections.abc

from galenatack import exceptions
from galenatack.interfaces import clock as clock_interface
from galenatack.interfaces import peer_network
from galenatack.messages import evidence
from galenatack.model import move_state
from galenatack.moves import evidence_counter
from galenatack.moves import fault_detector

REPORT_MS = 500
MS_PER_S = 1000.0


class EvidenceSender:
    """Sends `Evidence` every 500 ms while a move runs.

    Reports are sent at multiples of 500 ms of the wall clock and numbered from
    the start of the move. Reports with the same number therefore cover the same
    period on all gates.

    Args:
        counter: Counts of this move only.
        detector: Fault detector of this node; gets the report directly.
        recipients: Returns the other nodes of the service.
    """

    def __init__(
        self,
        *,
        move: move_state.MoveState,
        counter: evidence_counter.EvidenceCounter,
        detector: fault_detector.FaultDetector,
        clock: clock_interface.Clock,
        peers: peer_network.PeerNetwork,
        node_id: str,
        incarnation: int,
        data_centre: str,
        recipients: collections.abc.Callable[[], collections.abc.Iterable[str]],
    ):
        self._move = move
        self._counter = counter
        self._detector = detector
        self._clock = clock
        self._peers = peers
        self._node_id = node_id
        self._incarnation = incarnation
        self._data_centre = data_centre
        self._recipients = recipients

    async def run(self) -> None:
        """Sends reports until cancelled."""
        while True:
            remaining_ms = REPORT_MS - self._clock.wall_ms() % REPORT_MS
            await self._clock.sleep_s(remaining_ms / MS_PER_S)
            await self.send_once()

    async def send_once(self) -> None:
        """Sends one report; unreachable nodes are skipped."""
        report = self.report()
        self._detector.add(report)
        for node_id in self._recipients():
            try:
                await self._peers.send(node_id, report)
            except exceptions.PeerUnreachableError:
                continue

    def report(self) -> evidence.Evidence:
        """Returns a report of the current counts."""
        elapsed_ms = self._clock.wall_ms() - self._move.started_ms
        return evidence.Evidence(
            self._move.move_id,
            self._node_id,
            self._incarnation,
            max(1, elapsed_ms // REPORT_MS),
            self._data_centre,
            self._counter.report(),
        )
