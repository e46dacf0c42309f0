"""Latest and consumed reports of one inbound gate."""

from galenatack.messages import evidence
from galenatack.model import route_evidence

Snapshot = dict[tuple[str, str], route_evidence.RouteEvidence]


class GateReports:
    """Latest and consumed reports of one incarnation of a gate."""

    def __init__(self, report: evidence.Evidence, now_s: float):
        self.data_centre = report.data_centre
        self.number = report.number
        self.seen_s = now_s
        self.latest: Snapshot = {}
        self.consumed: Snapshot = {}
