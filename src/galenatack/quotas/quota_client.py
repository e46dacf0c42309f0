"""A node's side of the quotas."""

import collections.abc
import logging
import math

from galenatack.interfaces import clock as clock_interface
from galenatack.messages import quota_ask
from galenatack.messages import quota_grant
from galenatack.model import quota_need
from galenatack.quotas import group_state
from galenatack.quotas import own_shares
from galenatack.quotas import quota_book
from galenatack.quotas import tenant_tokens

RENEW_S = 0.5
"""Interval at which a node lends its shares again."""

MIN_ASK_S = 0.1
"""Shortest interval between questions of one group. Without it, refused
requests of tenants beyond their quota ask as fast as replies arrive."""

MAX_ASKS_PER_S = 400.0
"""Questions per second to one owner; in a larger fleet nodes renew more
rarely. One takes about 60 us."""

PLEDGE_RENEWALS = 4
"""Number of intervals for which a share is lent, so that two questions may be
lost. A dead owner has the shares for this long."""

_MS_PER_S = 1000
_LOGGER = logging.getLogger(__name__)


class QuotaClient:
    """Uses tokens of owners, and the own shares while they are not lent.

    Args:
        own_id: Id of this node.
        clock: Source of time.
        book: The quotas.
        nodes: Returns the number of nodes that share them; 0 if unknown.
    """

    def __init__(
        self,
        *,
        own_id: str,
        clock: clock_interface.Clock,
        book: quota_book.QuotaBook,
        nodes: collections.abc.Callable[[], int],
    ):
        self._clock = clock
        self._book = book
        self._nodes = nodes
        self._own = own_shares.OwnShares(own_id=own_id, clock=clock)
        self._tokens: dict[str, tenant_tokens.TenantTokens] = {}
        self._groups: dict[int, group_state.GroupState] = {}
        # A run before may have lent the shares just before it ended.
        self._started_s = clock.monotonic_s()

    def tokens(self, tenant: str) -> tenant_tokens.TenantTokens:
        """Returns the tokens of a tenant."""
        tokens = self._tokens.get(tenant)
        if tokens is None:
            tokens = tenant_tokens.TenantTokens(tenant, clock=self._clock)
            self._tokens[tenant] = tokens
        return tokens

    def take(self, tenant: str) -> float | None:
        """Uses a token or a part of the own share for a request.

        Returns:
            The monotonic time until which the charge may serve another attempt;
            None without a token.
        """
        terms = self._book.terms(tenant)
        if terms is None:
            return math.inf
        until_s = self.tokens(tenant).take(terms)
        if until_s is not None:
            return until_s
        number = quota_book.group_of(tenant)
        if not self.uses_own_share(number):
            return None
        # A node that has started in a cut-off part may know few others.
        nodes = max(self._nodes(), self._group(number).nodes)
        if not self._own.take(tenant, terms, nodes=nodes):
            return None
        return self._clock.monotonic_s() + tenant_tokens.REUSE_S

    def may_wait(self, tenant: str) -> bool:
        """Returns whether a request without a token may ask the owner."""
        group = quota_book.group_of(tenant)
        return not self.uses_own_share(group) and (
            not self.tokens(tenant).is_denied()
        )

    def uses_own_share(self, number: int) -> bool:
        """Returns whether this node lends its shares of a group to nobody."""
        group = self._group(number)
        is_lent = self._clock.monotonic_s() < self._lent_until_s(group)
        # Without a count, an equal share would be the whole quota.
        uses_own = not is_lent and self._nodes() > 0
        if uses_own and not group.uses_own and group.lent_to:
            _LOGGER.warning(
                "event=quota-own-share group=%d owner=%s nodes=%d"
                " next=check-links-to-owner",
                number,
                group.owner or "-",
                self._nodes(),
            )
        group.uses_own = uses_own
        return uses_own

    def pressure(self, tenant: str) -> float:
        """Returns the demand as a multiple of what may run."""
        tokens = self.tokens(tenant)
        terms = self._book.terms(tenant)
        if (
            terms is None
            or not self._group(quota_book.group_of(tenant)).uses_own
        ):
            return tokens.pressure
        return tokens.demand.per_s() * self._nodes() / terms.rate_per_s

    def is_due(self, number: int) -> bool:
        """Returns whether the owner of a group is to be asked."""
        group = self._group(number)
        age_s = self._clock.monotonic_s() - group.asked_s
        if age_s >= self._renew_s():
            return True
        # A node with its own share only looks for an owner.
        if self.uses_own_share(number) and not group.stamp_ms:
            return False
        is_lent = self._clock.monotonic_s() < group.lent_until_s
        return not is_lent or self._is_needy(number)

    def delay_s(self, number: int) -> float:
        """Returns the time before which the owner is not to be asked."""
        group = self._group(number)
        age_s = self._clock.monotonic_s() - group.asked_s
        return max(0.0, MIN_ASK_S - age_s)

    def former_owner(self, number: int, owner: str) -> str:
        """Sets the owner of a group.

        Returns:
            The node to which the share is still lent, if it is another one;
            otherwise an empty text.
        """
        group = self._group(number)
        if group.owner != owner:
            _LOGGER.info(
                "event=quota-owner group=%d owner=%s before=%s",
                number,
                owner,
                group.owner or "-",
            )
            group.owner = owner
            group.stamp_ms = 0
            for tenant, tokens in self._tokens.items():
                if quota_book.group_of(tenant) == number:
                    tokens.discard()
        is_lent = self._clock.monotonic_s() < group.lent_until_s
        is_elsewhere = group.lent_to not in ("", owner)
        return group.lent_to if is_lent and is_elsewhere else ""

    def released(self, number: int, node_id: str) -> None:
        """Records that a node has confirmed to use the share no more."""
        group = self._group(number)
        if group.lent_to == node_id:
            group.lent_to = ""
            group.lent_until_s = self._clock.monotonic_s()

    def make_release(self, number: int) -> quota_ask.QuotaAsk:
        """Returns the message that takes a lent share back."""
        return quota_ask.QuotaAsk(number, self._nodes(), 0, 0, True, ())

    def make_ask(
        self, number: int, waiting: collections.abc.Mapping[str, int]
    ) -> quota_ask.QuotaAsk:
        """Returns the question to the owner of a group.

        Args:
            number: The group.
            waiting: Number of waiting requests by tenant.
        """
        group = self._group(number)
        group.asked_s = self._clock.monotonic_s()
        needs = tuple(
            tokens.need(waiting.get(tenant, 0))
            for tenant, tokens in self._tokens.items()
            if quota_book.group_of(tenant) == number
        )
        return quota_ask.QuotaAsk(
            group=number,
            nodes=self._nodes(),
            stamp_ms=self._lend(group),
            pledge_ms=int(self._pledge_s() * _MS_PER_S),
            is_release=False,
            needs=tuple(need for need in needs if _is_worth_asking(need)),
        )

    def apply(
        self,
        ask: quota_ask.QuotaAsk,
        grant: quota_grant.QuotaGrant,
        *,
        owner: str,
        asked_s: float,
    ) -> bool:
        """Takes what an owner has granted.

        Args:
            ask: The question.
            grant: The reply.
            owner: The node that has replied.
            asked_s: Monotonic time of the question.

        Returns:
            False if the node is the owner no more.
        """
        group = self._group(ask.group)
        if group.owner != owner:
            return False
        group.stamp_ms = grant.stamp_ms
        group.stamped_s = self._clock.monotonic_s()
        group.nodes = grant.nodes
        for need, part in zip(ask.needs, grant.parts, strict=False):
            if need.tenant == part.tenant:
                self.tokens(need.tenant).apply(need, part, asked_s)
        return True

    def _lend(self, group: group_state.GroupState) -> int:
        """Lends the own share; returns the stamp, or 0 if it is not lent.

        The share is lent until a time that is counted from the arrival of the
        owner's stamp. The owner counts from the stamp itself, which is older.
        """
        now_s = self._clock.monotonic_s()
        until_s = group.stamped_s + self._pledge_s()
        is_free = now_s >= self._lent_until_s(group)
        is_renewal = group.lent_to == group.owner and not is_free
        if not group.stamp_ms or until_s <= now_s:
            return 0
        if not is_free and not is_renewal:
            return 0
        group.lent_to = group.owner
        group.lent_until_s = max(group.lent_until_s, until_s)
        for tenant in self._book.tenants():
            if self._group(quota_book.group_of(tenant)) is group:
                self._own.drop(tenant)
        return group.stamp_ms

    def _is_needy(self, number: int) -> bool:
        return any(
            tokens.is_needy()
            for tenant, tokens in self._tokens.items()
            if quota_book.group_of(tenant) == number
        )

    def _group(self, number: int) -> group_state.GroupState:
        return self._groups.setdefault(number, group_state.GroupState())

    def _lent_until_s(self, group: group_state.GroupState) -> float:
        return max(group.lent_until_s, self._started_s + self._pledge_s())

    def _renew_s(self) -> float:
        return max(RENEW_S, self._nodes() / MAX_ASKS_PER_S)

    def _pledge_s(self) -> float:
        return self._renew_s() * PLEDGE_RENEWALS


def _is_worth_asking(need: quota_need.QuotaNeed) -> bool:
    return bool(
        need.used
        or need.returned
        or need.waiting
        or need.wanted
        or need.standing
        or need.is_short
    )
