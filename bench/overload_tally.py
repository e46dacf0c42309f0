"""Ends of the requests of a run of the overload benchmark."""

import collections

from bench import uneven_work


class Tally:
    """Ends of the requests of one run, by class.

    Attributes:
        ended: Requests by class and end: `in-time`, `late` or `refused`, which
            is judged from their first try.
        tries_refused: Tries that were refused.
        crossed: Sends to another region.
        latencies_ms: Latencies of answered requests by class.
        served: Requests that were in time, by tenant.
        machines: Machines of the targets, if they differ.
    """

    def __init__(self):
        self.ended: collections.Counter[tuple[str, str]] = collections.Counter()
        self.tries_refused = 0
        self.crossed = 0
        self.latencies_ms: dict[str, list[float]] = collections.defaultdict(
            list
        )
        self.served: collections.Counter[str] = collections.Counter()
        self.machines: list[uneven_work.Machine] = []

    def count(self, end: str) -> int:
        """Returns the number of requests with an end."""
        return sum(n for (_, each), n in self.ended.items() if each == end)

    def share_in_time(self, name: str) -> float:
        """Returns the share of the requests of a class that were in time."""
        total = sum(n for (each, _), n in self.ended.items() if each == name)
        return self.ended[name, "in-time"] / max(1, total)

    def p99_ms(self, name: str) -> float:
        """Returns the 99th percentile of the latencies of a class."""
        latencies_ms = sorted(self.latencies_ms[name])
        return (
            latencies_ms[len(latencies_ms) * 99 // 100] if latencies_ms else 0
        )
