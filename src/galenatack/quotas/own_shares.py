"""A node's own shares of quotas, for as long as it lends them to nobody."""

import hashlib

from galenatack.interfaces import clock as clock_interface
from galenatack.quotas import quota_terms
from galenatack.routing import token_bucket

_HASH_BYTES = 8
_HASH_RANGE = 256**_HASH_BYTES


class OwnShares:
    """Admits requests within equal shares of the quotas.

    A share begins without tokens: they may have been used by the former owner.
    A share of less than one token is of no use to a node. As many nodes as
    there are tokens then have one each, and share the rate; which ones, a hash
    of the tenant and the node decides.

    Args:
        own_id: Id of this node.
        clock: Source of time.
    """

    def __init__(self, *, own_id: str, clock: clock_interface.Clock):
        self._own_id = own_id
        self._clock = clock
        self._buckets: dict[str, token_bucket.TokenBucket] = {}

    def take(
        self, tenant: str, terms: quota_terms.QuotaTerms, *, nodes: int
    ) -> bool:
        """Uses a token of this node's share; returns False without one."""
        bucket = self._buckets.get(tenant)
        if bucket is None:
            bucket = token_bucket.TokenBucket(
                clock=self._clock, rate_per_s=0.0, capacity=0.0
            )
            self._buckets[tenant] = bucket
        own = self._own_terms(tenant, terms, nodes)
        bucket.set_rate(rate_per_s=own.rate_per_s, capacity=own.capacity)
        if bucket.level < 1.0:
            return False
        bucket.charge(1.0)
        return True

    def drop(self, tenant: str) -> None:
        """Gives up the share of a tenant's quota."""
        self._buckets.pop(tenant, None)

    def _own_terms(
        self, tenant: str, terms: quota_terms.QuotaTerms, nodes: int
    ) -> quota_terms.QuotaTerms:
        own = terms.scaled(1.0 / nodes)
        if own.capacity >= 1.0:
            return own
        text = f"quota\0{tenant}\0{self._own_id}".encode()
        digest = hashlib.blake2b(text, digest_size=_HASH_BYTES).digest()
        if int.from_bytes(digest, "big") >= own.capacity * _HASH_RANGE:
            return quota_terms.QuotaTerms(0.0, 0.0)
        return own.scaled(1.0 / own.capacity)
