"""The tokens of one tenant at the owner of its quota."""

import collections
import math

from galenatack.interfaces import clock as clock_interface
from galenatack.model import quota_need
from galenatack.model import quota_part
from galenatack.quotas import quota_terms
from galenatack.routing import token_bucket

TOKEN_S = 1.5
"""Time after which a reserved token can no longer be used. The node counts from
its question and the owner from its reply, so that the node ends first."""

KEPT_PART = 0.25
KEPT_FROM_STANDING_PART = 0.7
"""Parts of the capacity that are not reserved for expected requests, and for
nodes that expect none: waiting requests come first, and a burst may come at
any node. A node that is short gets what there is, as it uses it at once."""

DEMAND_S = 2.0
"""Time for which the demand that a node has told counts."""

SUM_INTERVAL_S = 0.25
"""Interval at which the demand is summed, as many nodes tell theirs."""

_Grants = collections.deque[tuple[float, int]]


class TenantAccount:
    """Grants tokens; those that nodes hold count against the capacity.

    Args:
        clock: Source of time.

    Attributes:
        asked_s: Monotonic time of the last need.
    """

    def __init__(self, *, clock: clock_interface.Clock):
        self._clock = clock
        # Empty: an owner before may have granted all tokens.
        self._bucket = token_bucket.TokenBucket(
            clock=clock, rate_per_s=0.0, capacity=0.0
        )
        self._terms = quota_terms.QuotaTerms(0.0, 0.0)
        self._held: dict[str, _Grants] = {}
        self._outstanding = 0
        self._expiry_s = math.inf
        self._demands: dict[str, tuple[float, float]] = {}
        self._demand_per_s = 0.0
        self._summed_s = -math.inf
        self.asked_s = clock.monotonic_s()

    @property
    def outstanding(self) -> int:
        """Number of tokens that nodes hold or have not reported as used."""
        return self._outstanding

    def update(self, terms: quota_terms.QuotaTerms) -> None:
        """Sets the terms for the lent share of the quota."""
        now_s = self._clock.monotonic_s()
        if now_s >= self._expiry_s:
            self._expire(now_s)
        self._terms = terms
        self._limit()

    def grant(
        self, node_id: str, need: quota_need.QuotaNeed
    ) -> quota_part.QuotaPart:
        """Settles what a node reports and grants it what is there."""
        self.asked_s = self._clock.monotonic_s()
        self._settle(node_id, need)
        self._demands[node_id] = (self.asked_s, need.demand_per_s)
        direct = max(0, min(need.waiting, math.floor(self._bucket.level)))
        self._bucket.charge(direct)
        reserved = self._reserve(node_id, need)
        return quota_part.QuotaPart(
            need.tenant, direct, reserved, self._pressure()
        )

    def _reserve(self, node_id: str, need: quota_need.QuotaNeed) -> int:
        capacity = self._terms.capacity
        kept = 0.0 if need.is_short else capacity * KEPT_PART
        reserved = min(need.wanted, math.floor(self._bucket.level - kept))
        if not need.wanted:
            kept = capacity * KEPT_FROM_STANDING_PART
            reserved = min(need.standing, math.floor(self._bucket.level - kept))
        if reserved <= 0:
            return 0
        self._bucket.charge(reserved)
        grants = self._held.setdefault(node_id, collections.deque())
        grants.append((self.asked_s + TOKEN_S, reserved))
        self._outstanding += reserved
        self._expiry_s = min(self._expiry_s, self.asked_s + TOKEN_S)
        self._limit()
        return reserved

    def _expire(self, now_s: float) -> None:
        for node_id, grants in list(self._held.items()):
            while grants and grants[0][0] <= now_s:
                self._outstanding -= grants.popleft()[1]
            if not grants:
                del self._held[node_id]
        first = (grants[0][0] for grants in self._held.values())
        self._expiry_s = min(first, default=math.inf)

    def _settle(self, node_id: str, need: quota_need.QuotaNeed) -> None:
        self._outstanding -= self._take_back(node_id, need.used)
        returned = self._take_back(node_id, need.returned)
        self._outstanding -= returned
        self._limit()
        self._bucket.charge(-returned)
        self._limit()

    def _take_back(self, node_id: str, count: int) -> int:
        """Returns how many of some tokens had not expired."""
        grants = self._held.get(node_id)
        left = count
        while grants and left > 0:
            expires_s, held = grants.popleft()
            taken = min(held, left)
            left -= taken
            if held > taken:
                grants.appendleft((expires_s, held - taken))
        return max(0, count) - max(0, left)

    def _limit(self) -> None:
        self._bucket.set_rate(
            rate_per_s=self._terms.rate_per_s,
            capacity=max(0.0, self._terms.capacity - self._outstanding),
        )

    def _pressure(self) -> float:
        if self.asked_s - self._summed_s >= SUM_INTERVAL_S:
            self._summed_s = self.asked_s
            recent_s = self.asked_s - DEMAND_S
            for node_id, (time_s, _) in list(self._demands.items()):
                if time_s < recent_s:
                    del self._demands[node_id]
            self._demand_per_s = sum(d for _, d in self._demands.values())
        return self._demand_per_s / max(self._terms.rate_per_s, 1e-3)
