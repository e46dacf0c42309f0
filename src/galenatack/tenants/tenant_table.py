"""Finds the tenant of a key."""

import collections.abc
import hmac

from galenatack.model import tenant as tenant_model
from galenatack.model import tenant_key


class TenantTable:
    """Immutable index of the tenants of one configuration.

    A key that two tenants have belongs to the first one.

    Args:
        tenants: All tenants.

    Attributes:
        by_name: The tenants by their names.
    """

    def __init__(self, tenants: collections.abc.Iterable[tenant_model.Tenant]):
        self.by_name: dict[str, tenant_model.Tenant] = {}
        self._by_digest: dict[bytes, tuple[bytes, tenant_model.Tenant]] = {}
        for tenant in tenants:
            self.by_name.setdefault(tenant.name, tenant)
            for digest in tenant.key_digests:
                self._by_digest.setdefault(digest, (digest, tenant))

    def find_key(self, key: str) -> tuple[tenant_model.Tenant | None, bytes]:
        """Returns the tenant of a key, or None, and the key's digest."""
        digest = tenant_key.digest(key)
        return (self.find(digest) if key else None), digest

    def find(self, digest: bytes) -> tenant_model.Tenant | None:
        """Returns the tenant of a key's digest, or None.

        The time of the lookup depends on the digest only, of which a caller
        cannot choose the first bits without trying keys; the comparison does
        not depend on the content.
        """
        known = self._by_digest.get(digest)
        if known is None or not hmac.compare_digest(known[0], digest):
            return None
        return known[1]
