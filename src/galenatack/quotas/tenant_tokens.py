"""The tokens of one tenant that a node holds."""

import collections
import math

from galenatack.interfaces import clock as clock_interface
from galenatack.model import quota_need
from galenatack.model import quota_part
from galenatack.quotas import demand
from galenatack.quotas import quota_terms
from galenatack.quotas import tenant_account

HORIZON_S = 0.5
"""Time for whose expected requests tokens are reserved: the interval between
two questions and a round trip between regions."""

FRESH_S = 0.5
"""A token that expires sooner is replaced."""

STANDING_S = 20.0
"""Time after a request in which a node keeps one token, if there are plenty:
otherwise each rare request waits for a round trip to the owner."""

REUSE_S = 0.1
"""Time from a charge in which it may serve another attempt. The owner refills
from the charge on, so that what runs later than its charge adds to a window:
0.1 s x rate here, of the 0.2 s x rate that `QuotaTerms` leaves. Most refusals
of gates come within a round trip."""

SHORT_S = 0.25
"""Time after a refusal by the owner in which no request waits for it again."""


class TenantTokens:
    """Uses tokens and tells what is needed.

    Args:
        tenant: Name of the tenant.
        clock: Source of time.

    Attributes:
        demand: Recent requests, refused ones included.
        pressure: Demand at all nodes as a multiple of the rate, as the owner
            has told.
    """

    def __init__(self, tenant: str, *, clock: clock_interface.Clock):
        self._tenant = tenant
        self._clock = clock
        self._held: collections.deque[tuple[float, int]] = collections.deque()
        # Ends of charges that were given back; the owner has them as used.
        self._reusable_s: list[float] = []
        self._used = 0
        self._returned = 0
        self._is_short = False
        self._short_until_s = -math.inf
        self._has_requests = False
        self._terms: quota_terms.QuotaTerms | None = None
        self.demand = demand.Demand(clock=clock)
        self.pressure = 0.0

    def add_request(self) -> None:
        """Counts a request, whether it runs or not."""
        self._has_requests = True
        self.demand.add()

    def take(self, terms: quota_terms.QuotaTerms) -> float | None:
        """Uses a token.

        Returns:
            The monotonic time until which the charge may serve another attempt
            if this one does not run; None without a token.

        Args:
            terms: Terms in force. If they were lowered, tokens of before are
                given up, so that the new limit holds at once.
        """
        if terms is not self._terms:
            known, self._terms = self._terms, terms
            if known is not None and (
                terms.rate_per_s < known.rate_per_s
                or terms.capacity < known.capacity
            ):
                self._give_up()
        self._expire()
        if self._reusable_s:
            return self._reusable_s.pop()
        if not self._held:
            return None
        expires_s, count = self._held.popleft()
        if count > 1:
            self._held.appendleft((expires_s, count - 1))
        self._used += 1
        return min(expires_s, self._clock.monotonic_s() + REUSE_S)

    def give_back(self, until_s: float) -> None:
        """Takes back the charge of a request that did not run.

        Args:
            until_s: What `take` has returned. A charge has no second life: the
                owner has it as used, or is told that it was, and refills.
        """
        if self._clock.monotonic_s() < until_s:
            self._reusable_s.append(until_s)

    def is_denied(self) -> bool:
        """Returns whether the owner has just refused, or not answered."""
        return self._clock.monotonic_s() < self._short_until_s

    def note_refused(self) -> None:
        """Records that a request was refused."""
        self._is_short = True

    def discard(self) -> None:
        """Gives up all tokens and reports, as their owner has changed."""
        self._held.clear()
        self._reusable_s.clear()
        self._used = self._returned = 0

    def is_needy(self) -> bool:
        """Returns whether the owner should be asked before the next renewal."""
        if self._is_short and not self.is_denied():
            return True
        now_s = self._clock.monotonic_s()
        held = sum(n for end_s, n in self._held if end_s - now_s > FRESH_S)
        return held < round(self.demand.per_s() * HORIZON_S)

    def need(self, waiting: int) -> quota_need.QuotaNeed:
        """Returns what to report and ask; what it reports counts as told.

        Args:
            waiting: Number of requests that wait for a token.
        """
        self._expire()
        now_s = self._clock.monotonic_s()
        held = sum(n for end_s, n in self._held if end_s - now_s > FRESH_S)
        demand_per_s = self.demand.per_s()
        expected = round(demand_per_s * HORIZON_S)
        is_recent = self._has_requests and self.demand.age_s() < STANDING_S
        need = quota_need.QuotaNeed(
            tenant=self._tenant,
            used=self._used,
            returned=self._returned,
            waiting=waiting,
            wanted=max(0, expected - held),
            standing=int(is_recent and not held),
            is_short=self._is_short,
            demand_per_s=demand_per_s,
        )
        self._used = 0
        self._returned = 0
        self._is_short = False
        return need

    def apply(
        self,
        need: quota_need.QuotaNeed,
        part: quota_part.QuotaPart,
        asked_s: float,
    ) -> None:
        """Takes reserved tokens.

        Args:
            need: What was asked.
            part: What the owner has granted.
            asked_s: Monotonic time of the question.
        """
        self.pressure = part.pressure
        if part.reserved > 0:
            expires_s = asked_s + tenant_account.TOKEN_S
            self._held.append((expires_s, part.reserved))
        is_refused = part.direct < need.waiting or (
            need.is_short and not part.reserved
        )
        if is_refused:
            self.deny()

    def deny(self) -> None:
        """Lets no request wait for the owner for a short time."""
        self._short_until_s = self._clock.monotonic_s() + SHORT_S

    def _give_up(self) -> None:
        self._returned += sum(count for _, count in self._held)
        self._held.clear()
        self._reusable_s.clear()

    def _expire(self) -> None:
        now_s = self._clock.monotonic_s()
        while self._held and self._held[0][0] <= now_s:
            self._returned += self._held.popleft()[1]
        self._reusable_s = [
            end_s for end_s in self._reusable_s if end_s > now_s
        ]
