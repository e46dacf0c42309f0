"""Order in which calls that wait for a slot are started.

The order is priority, then calls that can be in their objective before those
that cannot, then the flow that was given the least work, then the nearest
deadline. Flows only count while a tenant's call waits beside other flows.
"""

import collections
import collections.abc
import functools
import heapq

from galenatack.admission import fair_shares
from galenatack.admission import waiting_call
from galenatack.interfaces import clock as clock_interface
from galenatack.model import admission_terms

MAX_REMOVED = 32
"""Removed calls that stay in a heap, beside as many as wait, before it is
rebuilt: those behind calls that always go first would stay for good."""

MAX_PRIORITIES = 16
"""Priorities of which the waits are told one by one, in each answer."""


class TurnOrder:
    """Waiting calls in the order of their turns.

    Args:
        clock: Source of time.
        tolerance_ms: Work by which a flow may lead before it goes behind.
    """

    def __init__(
        self,
        *,
        clock: clock_interface.Clock,
        tolerance_ms: float = fair_shares.TOLERANCE_MS,
    ):
        self._clock = clock
        self._calls: dict[str, waiting_call.WaitingCall] = {}
        self._heaps: dict[str, list[waiting_call.WaitingCall]] = {}
        self._shares: collections.defaultdict[int, fair_shares.FairShares] = (
            collections.defaultdict(
                functools.partial(
                    fair_shares.FairShares, tolerance_ms=tolerance_ms
                )
            )
        )
        self._tenant_calls = 0

    def __len__(self) -> int:
        return len(self._calls)

    def __contains__(self, call: waiting_call.WaitingCall) -> bool:
        return self._calls.get(call.call_id) is call

    def push(self, call: waiting_call.WaitingCall) -> None:
        """Adds a call."""
        self._calls[call.call_id] = call
        self._tenant_calls += call.has_tenant
        heap = self._heaps.setdefault(call.flow, [])
        if len(heap) > MAX_REMOVED + 2 * len(self._calls):
            heap[:] = [each for each in heap if each in self]
            heapq.heapify(heap)
        heapq.heappush(heap, call)

    def remove(self, call_id: str) -> waiting_call.WaitingCall | None:
        """Removes and returns a call; None if it does not wait."""
        call = self._calls.pop(call_id, None)
        if call is not None:
            self._tenant_calls -= call.has_tenant
            if not self._calls:
                self._heaps.clear()
                self._shares.clear()
        return call

    def pop(self) -> waiting_call.WaitingCall | None:
        """Removes and returns the call whose turn it is."""
        firsts = [
            first
            for flow in list(self._heaps)
            if (first := self._first(flow)) is not None
        ]
        if not firsts:
            return None
        is_fair = self._is_fair()
        call = min(firsts, key=lambda each: self._key(each, is_fair=is_fair))
        heapq.heappop(self._heaps[call.flow])
        if self._tenant_calls:
            waiting = {
                first.flow
                for first in firsts
                if first.priority == call.priority
            }
            shares = self._shares[call.priority]
            shares.charge(call.flow, call.cost_ms, waiting)
        if not self._heaps[call.flow]:
            del self._heaps[call.flow]
        self.remove(call.call_id)
        return call

    def clear(self) -> list[waiting_call.WaitingCall]:
        """Removes and returns all calls."""
        calls = list(self._calls.values())
        for call in calls:
            self.remove(call.call_id)
        return calls

    def in_order(self) -> list[waiting_call.WaitingCall]:
        """Returns the calls in the order of their turns if no other comes."""
        calls = sorted(self._calls.values(), key=waiting_call.WaitingCall.place)
        if not self._is_fair():
            return calls
        given_ms = {
            (call.priority, call.flow): self._given_ms(call) for call in calls
        }
        turns = []
        for call in calls:
            key = (call.priority, call.flow)
            turns.append((*call.rank, given_ms[key], len(turns), call))
            given_ms[key] += call.cost_ms
        return [turn[-1] for turn in sorted(turns)]

    def ahead(
        self,
        terms: admission_terms.AdmissionTerms,
        *,
        is_late: bool,
        cost_ms: float,
    ) -> tuple[float, float]:
        """Returns the calls that go before another one, and their work in ms.

        Args:
            terms: The other call.
            is_late: Whether it is late.
            cost_ms: Its work.
        """
        rank = (terms.priority, is_late, bool(terms.tenant))
        is_fair = self._is_fair(terms)
        calls, work_ms, own_cost_ms = 0, 0.0, 0.0
        others = collections.defaultdict(list)
        for call in self._calls.values():
            if call.rank > rank:
                continue
            if call.rank == rank and is_fair and call.flow != terms.flow:
                others[call.flow].append(call)
            elif call.rank < rank or call.deadline_s <= terms.deadline_s:
                calls += 1
                work_ms += call.expected_ms
                own_cost_ms += call.cost_ms if call.flow == terms.flow else 0
        turn_ms = self._given_ms(terms) + own_cost_ms + cost_ms
        for waiting in others.values():
            all_cost_ms = sum(call.cost_ms for call in waiting)
            lead_ms = turn_ms - self._given_ms(waiting[0])
            share = min(1.0, max(0.0, lead_ms / max(1.0, all_cost_ms)))
            calls += share * len(waiting)
            work_ms += share * sum(call.expected_ms for call in waiting)
        return calls, work_ms

    def by_priority(self) -> list[tuple[int, float]]:
        """Returns the calls that go before a new one, and their work in ms.

        The index is the priority of the new call, which is in time and belongs
        to a flow of which no call waits.
        """
        calls: collections.Counter[int] = collections.Counter()
        work_ms: collections.Counter[int] = collections.Counter()
        is_fair = self._is_fair()
        for call in self._calls.values():
            if is_fair and self._leads(call):
                continue
            place = min(MAX_PRIORITIES - 1, call.priority + call.is_late)
            calls[place] += 1
            work_ms[place] += call.expected_ms
        ahead, sums = (0, 0.0), []
        for priority in range(max(calls, default=0) + 1):
            ahead = (ahead[0] + calls[priority], ahead[1] + work_ms[priority])
            sums.append(ahead)
        return sums

    def _leads(self, call: waiting_call.WaitingCall) -> bool:
        """Returns whether a new flow would go before a call."""
        shares = self._shares.get(call.priority)
        return shares is not None and shares.leads(call.flow)

    def _is_fair(
        self, terms: admission_terms.AdmissionTerms | None = None
    ) -> bool:
        has_tenant = self._tenant_calls or (terms and terms.tenant)
        is_other = terms is not None and terms.flow not in self._heaps
        return bool(has_tenant) and len(self._heaps) + is_other > 1

    def _given_ms(
        self, call: admission_terms.AdmissionTerms | waiting_call.WaitingCall
    ) -> float:
        if call.priority not in self._shares:
            return 0.0
        return self._shares[call.priority].turn_ms(call.flow)

    def _first(self, flow: str) -> waiting_call.WaitingCall | None:
        """Returns the first call of a flow that still waits."""
        heap = self._heaps[flow]
        now_s = self._clock.monotonic_s()
        while heap:
            if heap[0] not in self:
                heapq.heappop(heap)
            elif heap[0].note_time(now_s):
                # Late from now on, it goes behind the others of its priority.
                heapq.heapreplace(heap, heap[0])
            else:
                return heap[0]
        del self._heaps[flow]
        return None

    def _key(
        self, call: waiting_call.WaitingCall, *, is_fair: bool
    ) -> tuple[int, bool, float, waiting_call.WaitingCall]:
        given_ms = self._given_ms(call) if is_fair else 0.0
        return (*call.rank, given_ms, call)
