"""Work that flows of calls were given while others waited."""

import collections.abc

MAX_FLOWS = 512
"""Flows that are kept before those that were given little are forgotten."""

TOLERANCE_MS = 500.0
"""Work by which a flow may lead before it goes behind the others: a few calls.
Flows within it go by deadline. Without it, each call of one of many tenants
goes before or behind all others by chance, and some wait until they are refused
while there is room for all."""


class FairShares:
    """Virtual service of the flows of one priority.

    As in start-time fair queueing, with the work of calls as their size.

    A flow that has waited for nothing gains no credit: it continues at the
    least service of the flows that wait.

    Args:
        tolerance_ms: Work by which a flow may lead before it goes behind.
    """

    def __init__(self, *, tolerance_ms: float = TOLERANCE_MS):
        self._tolerance_ms = tolerance_ms
        self._given_ms: dict[str, float] = {}
        self._least_ms = 0.0

    def __len__(self) -> int:
        return len(self._given_ms)

    def given_ms(self, flow: str) -> float:
        """Returns the work that a flow was given; the least goes first."""
        return max(self._least_ms, self._given_ms.get(flow, 0.0))

    def turn_ms(self, flow: str) -> float:
        """Returns the work by which flows take turns; the least goes first."""
        lead_ms = self.given_ms(flow) - self._least_ms
        return self._least_ms + max(0.0, lead_ms - self._tolerance_ms)

    def leads(self, flow: str) -> bool:
        """Returns whether a flow goes behind one that was given the least."""
        return self.turn_ms(flow) > self._least_ms

    def charge(
        self,
        flow: str,
        cost_ms: float,
        waiting: collections.abc.Iterable[str],
    ) -> None:
        """Charges a flow for a call that starts.

        Args:
            flow: Flow of the call.
            cost_ms: Work of the call.
            waiting: Flows that have waited, that of the call among them.
        """
        self._least_ms = min(self.given_ms(each) for each in waiting)
        self._given_ms[flow] = self.given_ms(flow) + cost_ms
        if len(self._given_ms) > MAX_FLOWS:
            self._forget()

    def _forget(self) -> None:
        """Keeps the half of the flows that were given the most.

        What the others were given beyond the least is a few calls.
        """
        most = sorted(self._given_ms, key=self._given_ms.__getitem__)
        for flow in most[: len(most) // 2]:
            del self._given_ms[flow]
