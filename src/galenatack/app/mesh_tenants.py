"""Parts of a mesh node for the tenants of the deployment."""

import typing

from galenatack.app import mesh_base
from galenatack.quotas import quota_book
from galenatack.quotas import quota_exchange
from galenatack.tenants import freshness_exchange
from galenatack.tenants import freshness_terms
from galenatack.tenants import key_freshness


class MeshTenants(typing.NamedTuple):
    """Parts for the tenants of the deployment.

    Attributes:
        freshness: Age of the keys; None unless revoking is strict.
        exchange: Asks other nodes for it; None unless revoking is strict.
        quotas: Admits requests within the quotas of tenants.
        book: The quotas of the configuration in force.
    """

    freshness: key_freshness.KeyFreshness | None
    exchange: freshness_exchange.FreshnessExchange | None
    quotas: quota_exchange.QuotaExchange
    book: quota_book.QuotaBook


def make(base: mesh_base.MeshBase) -> MeshTenants:
    """Makes the parts for the tenants."""
    book = quota_book.QuotaBook(
        in_force=base.callbacks.tenants, bounds=base.settings.bounds
    )
    quotas = quota_exchange.QuotaExchange(
        members=base.members,
        peers=base.peers,
        clock=base.clock,
        rng=base.rng,
        book=book,
    )
    terms = strict_terms(base)
    if terms is None:
        return MeshTenants(None, None, quotas, book)
    freshness = key_freshness.KeyFreshness(
        clock=base.clock,
        max_age_s=terms.max_age_s,
        own_version=base.callbacks.held_version,
    )
    return MeshTenants(
        freshness=freshness,
        exchange=freshness_exchange.FreshnessExchange(
            members=base.members,
            peers=base.peers,
            clock=base.clock,
            rng=base.rng,
            freshness=freshness,
            own_version=base.callbacks.held_version,
            terms=terms,
        ),
        quotas=quotas,
        book=book,
    )


def strict_terms(
    base: mesh_base.MeshBase,
) -> freshness_terms.FreshnessTerms | None:
    """Returns the times of strict revoking; None without it."""
    bounds = base.settings.bounds
    if not bounds.is_revoking_strict or not bounds.revoke_ms:
        return None
    return freshness_terms.of(bounds.revoke_ms)
