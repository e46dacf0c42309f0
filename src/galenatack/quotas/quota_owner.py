"""Answers the questions of nodes for tokens of tenants."""

import collections
import collections.abc

from galenatack.interfaces import clock as clock_interface
from galenatack.messages import quota_ask
from galenatack.messages import quota_grant
from galenatack.quotas import pledges as pledges_module
from galenatack.quotas import quota_book
from galenatack.quotas import quota_terms
from galenatack.quotas import tenant_account

_MS_PER_S = 1000


class QuotaOwner:
    """Owns the quotas of some groups, if other nodes think that it does.

    Args:
        clock: Source of time.
        book: The quotas.
        nodes: Returns the number of nodes that share them; 0 if unknown.
    """

    def __init__(
        self,
        *,
        clock: clock_interface.Clock,
        book: quota_book.QuotaBook,
        nodes: collections.abc.Callable[[], int],
    ):
        self._clock = clock
        self._book = book
        self._nodes = nodes
        self._pledges: dict[int, pledges_module.Pledges] = (
            collections.defaultdict(pledges_module.Pledges)
        )
        self._accounts: dict[str, tenant_account.TenantAccount] = {}
        self._started_s = clock.monotonic_s()

    def handle(
        self, node_id: str, ask: quota_ask.QuotaAsk
    ) -> quota_grant.QuotaGrant:
        """Answers a question of a node."""
        now_s = self._clock.monotonic_s()
        self._lend(node_id, ask, now_s)
        share = self._share(ask.group)
        parts = tuple(
            self._account(need.tenant, share).grant(node_id, need)
            for need in ask.needs
        )
        return quota_grant.QuotaGrant(
            # Never 0, which would lend nothing.
            stamp_ms=max(1, int(now_s * _MS_PER_S)),
            nodes=self._pledges[ask.group].nodes(self._nodes()),
            parts=parts,
        )

    def tick(self) -> None:
        """Ends expired shares and tokens; called regularly.

        Accounts exist as long as nodes lend their shares, also without
        requests, so that a burst after a pause finds its tokens.
        """
        shares = {group: self._share(group) for group in self._book.groups()}
        lent = {
            tenant
            for tenant in self._book.tenants()
            if shares[quota_book.group_of(tenant)]
        }
        for tenant in lent | self._accounts.keys():
            share = shares.get(quota_book.group_of(tenant), 0.0)
            account = self._account(tenant, share)
            is_idle = not share or self._book.terms(tenant) is None
            if is_idle and not account.outstanding:
                del self._accounts[tenant]

    def shares(self) -> dict[int, float]:
        """Returns the lent part of the quotas by group, without zeros."""
        shares = {group: self._share(group) for group in self._pledges}
        return {group: share for group, share in shares.items() if share}

    def _lend(
        self, node_id: str, ask: quota_ask.QuotaAsk, now_s: float
    ) -> None:
        pledges = self._pledges[ask.group]
        if ask.is_release:
            pledges.release(node_id)
        stamp_s = ask.stamp_ms / _MS_PER_S
        # A stamp of a run before, or of another node, proves nothing.
        if ask.stamp_ms <= 0 or not self._started_s <= stamp_s <= now_s:
            return
        until_s = stamp_s + ask.pledge_ms / _MS_PER_S
        if until_s > now_s:
            pledges.renew(node_id, until_s=until_s, nodes=ask.nodes)

    def _account(
        self, tenant: str, share: float
    ) -> tenant_account.TenantAccount:
        """Returns the account of a tenant, with its terms up to date."""
        account = self._accounts.get(tenant)
        if account is None:
            account = tenant_account.TenantAccount(clock=self._clock)
            self._accounts[tenant] = account
        terms = self._book.terms(tenant) or quota_terms.QuotaTerms(0.0, 0.0)
        account.update(terms.scaled(share))
        return account

    def _share(self, group: int) -> float:
        if not self._nodes():
            return 0.0
        return self._pledges[group].share(
            self._clock.monotonic_s(), nodes=self._nodes()
        )
