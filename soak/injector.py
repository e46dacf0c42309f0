"""Injects the faults of a run."""

import asyncio
import collections.abc
import signal

from soak import disruption
from soak import fault
from soak import fleet
from soak import plan
from soak import record
from soak import relay

STORM_CHANGES = 8
STORM_GAP_S = 0.2
MAX_REWRITE_S = 1.5
"""Longest time until the operator writes again what a restore has lost."""

HELD_BACK_S = 1.0
MAX_LAG_S = 3.0

DELAY_S = 0.1
SLOW_S = 0.3
RESTART_S = 1.5
"""Time that a started process needs to become ready."""

_Kind = fault.Kind
_Handler = collections.abc.Callable[
    [fault.Fault], collections.abc.Coroutine[None, None, None]
]


class Injector:
    """Injects the faults of a run.

    Args:
        world: The fleet.
        seen: Receives the time spans of the faults.
    """

    def __init__(self, *, world: fleet.Fleet, seen: record.Record):
        self._world = world
        self._seen = seen
        # Faults that end a process or a target exclude each other.
        self._locks = [asyncio.Lock() for _ in world.nodes]
        self._restore_lock = asyncio.Lock()
        self._readers_lock = asyncio.Lock()
        self._target_locks = [asyncio.Lock() for _ in world.nodes]
        self._handlers: dict[_Kind, _Handler] = {
            _Kind.KILL: self._kill,
            _Kind.PAUSE: self._pause,
            _Kind.STOP: self._stop,
            _Kind.RELOAD: self._reload,
            _Kind.HERD: self._herd,
            _Kind.PEERS_SILENT: self._peers(relay.Mode.SILENT),
            _Kind.PEERS_ONE_WAY: self._peers(relay.Mode.ONE_WAY),
            _Kind.PEERS_DELAY: self._peers(relay.Mode.DELAY),
            _Kind.PEERS_RESET: self._peers_reset,
            _Kind.STORE_SILENT: self._store(relay.Mode.SILENT),
            _Kind.STORE_REFUSE: self._store(relay.Mode.REFUSE),
            _Kind.STORE_RESET: self._store_reset,
            _Kind.STORE_DOWN: self._store_down,
            _Kind.STORE_SLOW: self._store_slow,
            _Kind.STORE_LOSES: self._store_loses,
            _Kind.STORE_FORGETS: self._store_forgets,
            _Kind.TARGET_CRASH: self._target_crash,
            _Kind.TARGET_LEAVE: self._target_leave,
            _Kind.STORE_RESTORED: self._store_restored,
            _Kind.DRIVER_PAUSE: self._driver_pause,
            _Kind.READERS_SILENT: self._readers_silent,
            _Kind.READERS_UNANSWERED: self._readers_unanswered,
            _Kind.STORE_LAGS: self._store_lags,
            _Kind.CONFIG: self._config,
            _Kind.CONFIG_STORM: self._config_storm,
        }

    async def run(self, faults: collections.abc.Sequence[fault.Fault]) -> None:
        """Injects all faults; returns when the last one is over."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        async with asyncio.TaskGroup() as tasks:
            for item in faults:
                await asyncio.sleep(started_s + item.at_s - loop.time())
                tasks.create_task(self._inject(item))

    async def _inject(self, item: fault.Fault) -> None:
        loop = asyncio.get_running_loop()
        from_s = loop.time()
        # Recorded only when it is over, as the checks run after the end.
        await self._handlers[item.kind](item)
        span = record.Span(
            from_s, loop.time(), f"{item.kind.value} {item.node}"
        )
        if item.kind not in fault.HARMLESS | {_Kind.STORE_RESTORED}:
            self._add_disruption(item, from_s)
        if item.kind in fault.PLANNED:
            self._seen.planned.append(span)
        elif item.kind in fault.OF_READERS:
            self._seen.readers.append(span)
        else:
            self._seen.unplanned.append(span)

    def _add_disruption(self, item: fault.Fault, from_s: float) -> None:
        nodes = None
        if item.kind == _Kind.HERD:
            nodes = frozenset(range(0, len(self._world.nodes), 2))
        elif item.kind in fault.OF_ONE_NODE:
            nodes = frozenset({item.node})
        self._seen.disruptions.append(
            disruption.Disruption(
                from_s,
                asyncio.get_running_loop().time(),
                nodes,
                is_partial=item.kind in fault.OF_PART_OF_STORE,
            )
        )

    async def _kill(self, item: fault.Fault) -> None:
        async with self._locks[item.node]:
            node = self._world.nodes[item.node]
            node.kill()
            await asyncio.sleep(item.for_s / 2)
            node.start()
            await asyncio.sleep(RESTART_S)

    async def _herd(self, item: fault.Fault) -> None:
        async with asyncio.TaskGroup() as tasks:
            for index in range(0, len(self._world.nodes), 2):
                tasks.create_task(self._kill(item._replace(node=index)))

    async def _pause(self, item: fault.Fault) -> None:
        async with self._locks[item.node]:
            node = self._world.nodes[item.node]
            node.signal(signal.SIGSTOP)
            await asyncio.sleep(item.for_s)
            node.signal(signal.SIGCONT)

    async def _stop(self, item: fault.Fault) -> None:
        async with self._locks[item.node]:
            node = self._world.nodes[item.node]
            problem = await node.stop()
            if problem:
                self._seen.exits.append(problem)
            node.start()
            await asyncio.sleep(RESTART_S)

    async def _reload(self, item: fault.Fault) -> None:
        async with self._locks[item.node]:
            node = self._world.nodes[item.node]
            if self._world.series is not None:
                node.rewrite_settings()
            node.signal(signal.SIGHUP)

    def _peers(self, mode: relay.Mode) -> _Handler:
        return lambda item: _disturb(
            self._world.nodes[item.node].peers, mode, item.for_s
        )

    def _store(self, mode: relay.Mode) -> _Handler:
        return lambda item: _disturb(
            self._world.nodes[item.node].store, mode, item.for_s
        )

    async def _peers_reset(self, item: fault.Fault) -> None:
        self._world.nodes[item.node].peers.reset()

    async def _store_reset(self, item: fault.Fault) -> None:
        for node in self._world.nodes:
            node.store.reset()

    async def _store_down(self, item: fault.Fault) -> None:
        self._world.store.faults.is_down = True
        await asyncio.sleep(item.for_s)
        self._world.store.faults.is_down = False

    async def _store_slow(self, item: fault.Fault) -> None:
        self._world.store.faults.slow_s = SLOW_S
        await asyncio.sleep(item.for_s)
        self._world.store.faults.slow_s = 0.0

    async def _store_loses(self, item: fault.Fault) -> None:
        self._world.store.faults.lose_answers += 3
        await asyncio.sleep(item.for_s)
        self._world.store.faults.lose_answers = 0

    async def _store_forgets(self, item: fault.Fault) -> None:
        self._world.store.rows.forget()

    async def _store_restored(self, item: fault.Fault) -> None:
        async with self._restore_lock:
            from_s = asyncio.get_running_loop().time()
            self._world.store.faults.is_down = True
            await asyncio.sleep(item.for_s)
            self._world.restore_copy(item.node)
            self._world.store.faults.is_down = False
            # What is lost is acknowledged again once it is written again.
            self._add_disruption(item, from_s)
            await asyncio.sleep(item.for_s / plan.MAX_OUTAGE_S * MAX_REWRITE_S)
            self._world.rollout.order_again()
            self._world.write_config()

    async def _driver_pause(self, item: fault.Fault) -> None:
        driver = self._world.rollout.driver
        names = [node.name for node in self._world.nodes]
        index = names.index(driver) if driver else item.node
        await self._pause(item._replace(node=index))

    async def _readers_silent(self, item: fault.Fault) -> None:
        """The store gives the followers of a region no answer."""
        region = self._world.nodes[item.node].region
        await self._disturb_readers({region}, relay.Mode.SILENT, item.for_s)

    async def _readers_unanswered(self, item: fault.Fault) -> None:
        """Answers to the followers of a region, or of all, are lost."""
        regions = {node.region for node in self._world.nodes}
        if item.node % 2:
            regions = {self._world.nodes[item.node].region}
        await self._disturb_readers(regions, relay.Mode.UNANSWERED, item.for_s)

    async def _disturb_readers(
        self, regions: set[str], mode: relay.Mode, for_s: float
    ) -> None:
        # A disturbance that ends would end an overlapping one.
        async with self._readers_lock, asyncio.TaskGroup() as tasks:
            for node in self._world.nodes:
                if node.region in regions and node.follows_store():
                    tasks.create_task(_disturb(node.store, mode, for_s))

    async def _store_lags(self, item: fault.Fault) -> None:
        """The store loses its history; its reads stay behind for a while.

        Just before, it holds back the changes of open watches.
        """
        async with self._restore_lock:
            store = self._world.store
            store.faults.lagging_rows = store.rows.copy()
            store.faults.is_deaf = True
            self._world.change_config()
            await asyncio.sleep(HELD_BACK_S)
            store.rows.forget()
            store.faults.is_deaf = False
            await asyncio.sleep(min(item.for_s, MAX_LAG_S))
            store.faults.lagging_rows = None

    async def _target_crash(self, item: fault.Fault) -> None:
        async with self._target_locks[item.node]:
            target = self._world.targets[item.node]
            await target.crash()
            await asyncio.sleep(item.for_s / 2)
            await target.start()

    async def _target_leave(self, item: fault.Fault) -> None:
        async with self._target_locks[item.node]:
            target = self._world.targets[item.node]
            await target.leave()
            await target.start()

    async def _config(self, item: fault.Fault) -> None:
        self._world.change_config()

    async def _config_storm(self, item: fault.Fault) -> None:
        for _ in range(STORM_CHANGES):
            self._world.change_config()
            await asyncio.sleep(STORM_GAP_S)


async def _disturb(
    disturbed: relay.Relay, mode: relay.Mode, seconds: float
) -> None:
    disturbed.delay_s = DELAY_S
    disturbed.mode = mode
    if mode == relay.Mode.REFUSE:
        disturbed.reset()
    await asyncio.sleep(seconds)
    disturbed.mode = relay.Mode.PASS
    # Bytes that were held back for seconds are stale; drop them.
    if mode not in (relay.Mode.DELAY, relay.Mode.UNANSWERED):
        disturbed.reset()
