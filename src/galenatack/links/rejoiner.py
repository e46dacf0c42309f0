"""Reconnects the node to the mesh after a start or a partition."""

import collections.abc
import logging

from galenatack import exceptions
from galenatack.interfaces import clock as clock_interface
from galenatack.interfaces import random_source
from galenatack.links import dial_backoff
from galenatack.links import link_registry
from galenatack.membership import member_table
from galenatack.membership import node_roles

SEED_INITIAL_S = 0.5
SEED_MAX_S = 5.0

LOST_INTERVAL_S = 4.0
"""Mean time between attempts to reach a lost data centre or node."""

_LOGGER = logging.getLogger(__name__)

DialAddress = collections.abc.Callable[[str], collections.abc.Awaitable[object]]


class Rejoiner:
    """Dials seeds at startup, and lost members later.

    After a partition, each side considers the other's members dead, so
    neither would dial. Carriers therefore keep dialling seeds and last known
    addresses.

    Args:
        table: Member table.
        clock: Clock of the delays.
        rng: Source of jitter and of the choice of an address.
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
        self._last_errors: dict[str, str] = {}

    async def run(self) -> None:
        """Dials until cancelled."""
        delays = dial_backoff.DialBackoff(
            rng=self._rng, initial_s=SEED_INITIAL_S, max_s=SEED_MAX_S
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
        """Returns known addresses without a live member."""
        own = self._table.own
        live = self._table.live()
        live_addresses = {record.peer_address for record in live}
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
        return tuple(sorted((lost | dead | set(self._seeds)) - live_addresses))

    async def _find_lost(self) -> None:
        if not node_roles.is_carrier(self._table):
            return
        lost = self.lost_addresses()
        if lost:
            await self._try_dial(self._rng.choice(lost))

    async def _dial_seeds(self) -> None:
        own_address = self._table.own.peer_address
        for address in self._seeds:
            if address != own_address:
                await self._try_dial(address)

    async def _try_dial(self, address: str) -> None:
        try:
            await self._dial(address)
        except exceptions.PeerError as error:
            # The first failure of each kind lets an operator notice a wrong
            # seed or certificate; repeats would flood the log.
            is_repeat = self._last_errors.get(address) == str(error)
            level = logging.DEBUG if is_repeat else logging.INFO
            _LOGGER.log(
                level, "event=dial-failed peer=%s error=%s", address, error
            )
            self._last_errors[address] = str(error)
        else:
            self._last_errors.pop(address, None)
