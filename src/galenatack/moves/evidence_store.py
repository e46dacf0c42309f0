"""Stores the latest report of each gate and computes windows from them."""

from galenatack.messages import evidence
from galenatack.moves import _gate_reports
from galenatack.moves import _window_sum
from galenatack.moves import route_window

_GateKey = tuple[str, int]

# All gates send the report of one number at the same time. A gate whose report
# is later than this is counted with its next report, so it cannot delay the
# others.
STRAGGLER_WAIT_S = 0.4
GATE_SILENT_S = 2.0
# A gate whose first report here has a higher number has not reported to this
# node before. Its counts span periods of different traffic shares and serve
# only as a baseline.
MAX_FIRST_NUMBER = 6


class EvidenceStore:
    """Keeps the latest report by (node, incarnation) for one move.

    Counts of a restarted gate start at zero under its new incarnation. Reports
    that arrive out of order are dropped by their number.

    Args:
        move_id: The move; reports of other moves are ignored.
        is_late: True when this node joins a move in progress. The first
            report of each gate is then a baseline, because its counts span
            periods of different traffic shares.
    """

    def __init__(self, *, move_id: str, is_late: bool = False):
        self._move_id = move_id
        self._is_late = is_late
        self._gates: dict[_GateKey, _gate_reports.GateReports] = {}
        self._newest = 0
        self._newest_s = 0.0
        self._consumed = 0

    def add(self, report: evidence.Evidence, *, now_s: float) -> bool:
        """Adds a report; returns False if it is stale or of another move."""
        if report.move_id != self._move_id:
            return False
        key = (report.node_id, report.incarnation)
        gate = self._gates.get(key)
        if gate is None:
            gate = self._gates[key] = _gate_reports.GateReports(report, now_s)
            if self._is_late or report.number > MAX_FIRST_NUMBER:
                gate.consumed = _by_route(report)
        elif report.number <= gate.number:
            return False
        gate.number = report.number
        gate.seen_s = now_s
        gate.latest = _by_route(report)
        if report.number > self._newest:
            self._newest = report.number
            self._newest_s = now_s
        return True

    def take(self, *, now_s: float) -> tuple[route_window.RouteWindow, ...]:
        """Returns the outcomes since the last call, over the same period.

        Empty until all gates have reported the newest number or the wait for
        stragglers has timed out.
        """
        if self._newest <= self._consumed or not self._is_complete(now_s):
            return ()
        self._consumed = self._newest
        sums: dict[tuple[str, str, str], _window_sum.WindowSum] = {}
        for gate in self._gates.values():
            _add_difference(gate, sums)
            gate.consumed = gate.latest
        return tuple(sums[key].window(key) for key in sorted(sums))

    def _is_complete(self, now_s: float) -> bool:
        if now_s - self._newest_s >= STRAGGLER_WAIT_S:
            return True
        return all(
            gate.number >= self._newest
            for gate in self._gates.values()
            if now_s - gate.seen_s < GATE_SILENT_S
        )


def _by_route(report: evidence.Evidence) -> _gate_reports.Snapshot:
    return {(entry.route, entry.version): entry for entry in report.routes}


def _add_difference(
    gate: _gate_reports.GateReports,
    sums: dict[tuple[str, str, str], _window_sum.WindowSum],
) -> None:
    for (route, version), entry in gate.latest.items():
        consumed = gate.consumed.get((route, version))
        if consumed == entry:
            continue
        total = sums.setdefault(
            (route, version, gate.data_centre), _window_sum.WindowSum()
        )
        total.calls += entry.calls
        total.errors += entry.errors
        total.warm_calls += entry.warm_calls
        total.buckets.update(dict(entry.latency_buckets))
        if consumed is not None:
            total.calls -= consumed.calls
            total.errors -= consumed.errors
            total.warm_calls -= consumed.warm_calls
            total.buckets.subtract(dict(consumed.latency_buckets))
