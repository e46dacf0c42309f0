"""Finds nodes again that no link leads to."""

import collections.abc
import logging

from galenatack import exceptions
from galenatack.interfaces import clock as clock_interface
from galenatack.interfaces import random_source
from galenatack.links import dial_backoff
from galenatack.links import link_registry
from galenatack.membership import member_table
from galenatack.membership import node_roles

SEED_FIRST_S = 0.5
SEED_LONGEST_S = 5.0

LOST_INTERVAL_S = 4.0
"""Mean time between attempts to find a lost data centre or node."""

_LOGGER = logging.getLogger(__name__)

DialAddress = collections.abc.Callable[[str], collections.abc.Awaitable[object]]


class Rejoiner:
    """Dials seeds at start, and lost members later.

    After a partition both sides hold the other's records as dead, so neither
    has a reason to dial. The carriers therefore keep trying seeds and the
    last known addresses.

    Args:
        table: Members.
        clock: Clock.
        rng: Jitter and choice.
        registry: The open links.
        seeds: Addresses from the settings.
        dial: Opens a direct link to an address.
    """

    def __init__(
        self,
        *,
        table: member_table.MemberTable,
        clock: clock_interface.Clock,
        rng: random_source.RandomSource,
        registry: link_registry.LinkRegistry,
        seeds: tuple[str, ...],
        dial: DialAddress,
    ):
        self._table = table
        self._clock = clock
        self._rng = rng
        self._registry = registry
        self._seeds = seeds
        self._dial = dial
        self._failing: dict[str, str] = {}

    async def run(self) -> None:
        """Dials for as long as the node runs."""
        delays = dial_backoff.DialBackoff(
            rng=self._rng, first_s=SEED_FIRST_S, longest_s=SEED_LONGEST_S
        )
        while True:
            if self._registry.links():
                delays.reset()
                await self._find_lost()
                pause_s = self._rng.uniform(0.5, 1.5) * LOST_INTERVAL_S
            else:
                await self._dial_seeds()
                pause_s = delays.next_s()
            await self._clock.sleep_s(pause_s)

    def lost_addresses(self) -> tuple[str, ...]:
        """Returns addresses that no live record covers."""
        own = self._table.own
        live = self._table.live()
        reached = {record.peer_address for record in live}
        populated = {r.data_centre for r in live if r.node_id != own.node_id}
        lost = {
            record.peer_address
            for name in self._table.data_centres() - populated
            for record in self._table.last_live_records(name)
        }
        dead = {
            record.peer_address
            for record in self._table.tombstones()
            if record.region == own.region
        }
        return tuple(sorted((lost | dead | set(self._seeds)) - reached))

    async def _find_lost(self) -> None:
        epoch = node_roles.epoch(self._clock.wall_ms())
        if not node_roles.is_carrier(self._table, epoch):
            return
        lost = self.lost_addresses()
        if lost:
            await self._try(self._rng.choice(lost))

    async def _dial_seeds(self) -> None:
        own_address = self._table.own.peer_address
        for address in self._seeds:
            if address != own_address:
                await self._try(address)

    async def _try(self, address: str) -> None:
        try:
            await self._dial(address)
        except exceptions.PeerError as error:
            # The first failure of each kind is what tells an operator of a
            # wrong seed or certificate; the repeats would fill the log.
            is_known = self._failing.get(address) == str(error)
            level = logging.DEBUG if is_known else logging.INFO
            _LOGGER.log(
                level, "event=dial-failed peer=%s error=%s", address, error
            )
            self._failing[address] = str(error)
        else:
            self._failing.pop(address, None)
