"""Tenants of the overload benchmark, one of which sends more than its share."""

import random
import typing


class Crowd(typing.NamedTuple):
    """Tenants of which the first one sends more than the others.

    Attributes:
        tenants: Number of tenants.
        hot_share: Share of the requests that the first one sends.
    """

    tenants: int = 10
    hot_share: float = 0.7

    def draw(self, rng: random.Random) -> str:
        """Returns the tenant of the next request."""
        if rng.random() < self.hot_share:
            return "t0"
        return f"t{rng.randrange(1, self.tenants)}"

    def fair_shares(self, factor: float) -> list[float]:
        """Returns what is fair to each tenant, as shares of the capacity.

        Nobody gets more than it asks for, and what that leaves is shared among
        the others.

        Args:
            factor: Offered load as a multiple of the capacity.
        """
        cool = factor * (1.0 - self.hot_share) / (self.tenants - 1)
        asked = [factor * self.hot_share, *[cool] * (self.tenants - 1)]
        shares, left, others = {}, 1.0, self.tenants
        for tenant in sorted(range(self.tenants), key=asked.__getitem__):
            shares[tenant] = min(asked[tenant], left / others)
            left -= shares[tenant]
            others -= 1
        return [shares[tenant] for tenant in range(self.tenants)]
